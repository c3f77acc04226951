package site

//go:generate go tool -modfile=../.ci/tools/go.mod enumer -type=Kind,RolloutState -text -transform=snake -trimprefix=Rollout -output=names.go
