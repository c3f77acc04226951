package pool

//go:generate go tool -modfile=../.ci/tools/go.mod enumer -type=Policy -text -transform=snake -output=names.go
