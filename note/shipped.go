package note

import (
	"embed"
	"slices"

	"bergamotworks/fault"
)

//go:embed shipped/*.json
var shipped embed.FS

// ShippedNames returns the names of the release notes that are embedded in the
// program.
func ShippedNames() []string { return []string{"rembourrage_laval", "toits_unis"} }

// Shipped returns a release note that is embedded in the program. The addresses
// of its targets are placeholders on the loopback interface with a different
// port for each target. It fails with fault.NotFound if the name is not in
// [ShippedNames].
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
