package move

//go:generate go tool -modfile=../.ci/tools/go.mod enumer -type=Reason,Action,CopyState -text -transform=snake -output=names.go
