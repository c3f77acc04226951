package warm

//go:generate go tool -modfile=../.ci/tools/go.mod enumer -type=Phase,OutcomeKind,Cause -linecomment -text -transform=snake -output=names.go
