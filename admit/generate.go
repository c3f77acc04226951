package admit

//go:generate go tool -modfile=../.ci/tools/go.mod enumer -type=Reason -text -transform=snake -linecomment -output=names.go
