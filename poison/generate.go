package poison

//go:generate go tool -modfile=../.ci/tools/go.mod enumer -type=Standing -text -transform=snake -linecomment -output=names.go
