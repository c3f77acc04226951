package retry

//go:generate go tool -modfile=../.ci/tools/go.mod enumer -type=Decision -text -transform=snake -linecomment -output=names.go
