package place

//go:generate go tool -modfile=../.ci/tools/go.mod enumer -type=ReportKind,HoldReason,Condition,PaceCause -text -transform=snake -output=names.go
