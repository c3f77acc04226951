package canary

//go:generate go tool -modfile=../.ci/tools/go.mod enumer -type=Phase,Verdict -text -transform=snake -output=names.go
