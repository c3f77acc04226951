package site

//go:generate go tool -modfile=../.ci/tools/go.mod enumer -type=Kind -text -transform=snake -output=names.go
