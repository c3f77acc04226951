package fault

//go:generate go tool -modfile=../.ci/tools/go.mod enumer -type=Verdict,Kind -text -transform=snake -output=names.go
