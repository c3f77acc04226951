package engine

//go:generate go tool -modfile=../.ci/tools/go.mod enumer -type=Cause -text -transform=snake -linecomment -output=names.go
