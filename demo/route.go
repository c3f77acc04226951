package demo

import (
	"maps"
	"slices"
	"strconv"

	"bergamotworks/note"
	"bergamotworks/site"
)

// The opaque route that the demo adds to a shipped deployment.
const (
	RouteHost   = "poster.example"
	RoutePrefix = "/poster/"

	routeService    = "poster"
	tileService     = "poster_tile"
	routeTargets    = 4
	routePieces     = 6
	routeDeadlineMS = 5000 // Milliseconds.
)

// withRoute returns the note with an opaque route whose stage processes tiles as
// pieces, in batches of up to four. Each request reads the results of its own
// pieces.
func withRoute(n note.Note) note.Note {
	domains := slices.Sorted(maps.Keys(n.Added.Domains))
	n.Added.Services = maps.Clone(n.Added.Services)
	n.Added.Services[routeService] = note.Service{Kind: note.Plain, ColdLimit: 16, WarmLimit: 32, TypicalMS: 10}
	n.Added.Services[tileService] = note.Service{
		Kind: note.Plain, ColdLimit: 4, WarmLimit: 4, TypicalMS: 10,
		Batch: &note.BatchLimits{Slots: 2, Size: 4, CallMS: 8, PieceMS: 1, ResultCapacityBytes: 64 << 20, RetentionMS: 4000},
	}
	n.Added.Targets = maps.Clone(n.Added.Targets)
	for i := range routeTargets {
		domain := domains[i%len(domains)]
		for _, service := range []string{routeService, tileService} {
			name := service + "-" + strconv.Itoa(i+1)
			n.Added.Targets[name] = note.Target{Service: service, Domain: domain, Address: placeholderAddress(len(n.Added.Targets))}
		}
	}
	n.Added.Routes = map[string]note.Route{routeService: {
		Host: RouteHost, Prefix: RoutePrefix, Service: routeService, Kind: site.Idempotent,
		Class: slices.Min(slices.Collect(maps.Keys(n.Added.Classes))), TimeoutMS: routeDeadlineMS,
		Stages: []note.RouteStage{{Service: tileService, ResultBytes: 1 << 16}},
	}}
	return n
}

// placeholderAddress returns an address for a target in the note, which is replaced
// when the stand-in has started.
func placeholderAddress(index int) string { return "127.0.0.1:" + strconv.Itoa(1+index) }
