package store

//go:generate go tool -modfile=../.ci/tools/go.mod enumer -type=CallKind,FaultKind -text -trimprefix=Call,Fault -transform=snake -linecomment -output=names.go
