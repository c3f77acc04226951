package warm

//go:generate go tool -modfile=../.ci/tools/go.mod enumer -type=Phase,OutcomeKind,Cause -text -transform=snake -output=names.go
