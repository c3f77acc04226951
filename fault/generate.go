package fault

//go:generate go tool -modfile=../.ci/tools/go.mod enumer -type=Verdict,Kind -text -transform=snake -linecomment -output=names.go
