package batch

//go:generate go tool -modfile=../.ci/tools/go.mod enumer -type=Reason -text -transform=snake -output=names.go
