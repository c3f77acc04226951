package ledger

//go:generate go tool -modfile=../.ci/tools/go.mod enumer -type=State,Outcome,CommitResult -text -transform=snake -linecomment -output=names.go
