package trial

//go:generate go tool -modfile=../.ci/tools/go.mod enumer -type=Action,StoreFault -text -transform=snake -linecomment -output=names.go
