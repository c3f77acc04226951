package note

//go:generate go tool -modfile=../.ci/tools/go.mod enumer -type=State,StageKind,OrderKind -text -transform=snake -linecomment -output=names.go
