package note

import (
	"embed"
	"slices"

	"bergamotworks/fault"
)

//go:embed shipped/*.json
var shipped embed.FS

// ShippedNames returns the names of the release notes that come with the program.
func ShippedNames() []string { return []string{"rembourrage_laval", "toits_unis"} }

// Shipped returns a release note that comes with the program. The addresses of
// its targets are placeholders on loopback, one port for each target.
func Shipped(name string) (Note, error) {
	if !slices.Contains(ShippedNames(), name) {
		return Note{}, fault.New(fault.NotFound, fault.NotRun, "no shipped note %q", name)
	}
	text, err := shipped.ReadFile("shipped/" + name + ".json")
	if err != nil {
		return Note{}, fault.New(fault.Internal, fault.NotRun, "%s", err)
	}
	return Decode(text)
}
