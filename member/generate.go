package member

//go:generate go tool -modfile=../.ci/tools/go.mod enumer -type=State -text -transform=snake -output=names.go
