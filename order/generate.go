package order

//go:generate go tool -modfile=../.ci/tools/go.mod enumer -type=Phase -text -trimprefix=Phase -transform=snake -linecomment -output=names.go
