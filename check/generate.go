package check

//go:generate go tool -modfile=../.ci/tools/go.mod enumer -type=Severity -text -transform=snake -output=names.go
