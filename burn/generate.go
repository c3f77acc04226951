package burn

//go:generate go tool -modfile=../.ci/tools/go.mod enumer -type=Dimension -text -transform=snake -output=names.go
