package conf

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"bergamotworks/fault"
	"bergamotworks/note"
)

// hashBytes is the length of a content hash in bytes; it is stored in
// hexadecimal.
const hashBytes = 16

// part is a separately stored portion of a configuration: one of its sections,
// or the targets of one service in one failure domain.
type part struct {
	hash     string
	content  json.RawMessage
	sections note.Sections
}

// image is an immutable configuration together with its encoded parts by name.
// A nil image has revision 0.
type image struct {
	config   note.Config
	parts    map[string]part
	checksum string
}

func (i *image) revision() int64 {
	if i == nil {
		return 0
	}
	return i.config.Revision
}

// newImage splits a configuration into parts. It reuses the parts of an earlier
// image that are equal. The earlier image may be nil.
func newImage(config note.Config, earlier *image) (*image, error) {
	parts := map[string]part{}
	for name, sections := range split(config.Sections) {
		content, err := json.Marshal(sections)
		if err != nil {
			return nil, fault.New(fault.Internal, fault.NotRun, "encode %s: %s", name, err)
		}
		hash := hashOf(content)
		if earlier != nil && earlier.parts[name].hash == hash {
			parts[name] = earlier.parts[name]
			continue
		}
		parts[name] = part{hash: hash, content: content, sections: sections}
	}
	return &image{config: config, parts: parts, checksum: checksum(parts)}, nil
}

// assemble returns the image that consists of the given parts.
func assemble(revision int64, noteID string, parts map[string]part) *image {
	var s note.Sections
	for _, name := range slices.Sorted(maps.Keys(parts)) {
		s = joinSections(s, parts[name].sections)
	}
	config := note.Config{}.WithSections(s).WithRevision(revision, noteID)
	return &image{config: config, parts: parts, checksum: checksum(parts)}
}

func newPart(name string, content json.RawMessage) (part, error) {
	p := part{hash: hashOf(content), content: content}
	if err := json.Unmarshal(content, &p.sections); err != nil {
		return part{}, fault.New(fault.Internal, fault.NotRun, "decode section %s: %s", name, err)
	}
	return p, nil
}

// split returns the parts of a configuration by the name under which each is
// stored. Targets are split by service and failure domain, so that a change of
// one target rewrites only a small part.
func split(s note.Sections) map[string]note.Sections {
	result := map[string]note.Sections{}
	put := func(name string, count int, sections note.Sections) {
		if count > 0 {
			result[name] = sections
		}
	}
	put("domains", len(s.Domains), note.Sections{Domains: s.Domains})
	put("services", len(s.Services), note.Sections{Services: s.Services})
	put("pipelines", len(s.Pipelines), note.Sections{Pipelines: s.Pipelines})
	put("classes", len(s.Classes), note.Sections{Classes: s.Classes})
	put("accounts", len(s.Accounts), note.Sections{Accounts: s.Accounts})
	put("objectives", len(s.Objectives), note.Sections{Objectives: s.Objectives})
	put("orders", len(s.Orders), note.Sections{Orders: s.Orders})
	put("limits", len(s.Limits), note.Sections{Limits: s.Limits})
	put("routes", len(s.Routes), note.Sections{Routes: s.Routes})
	for name, t := range s.Targets {
		group := strings.Join([]string{"targets", t.Service, t.Domain}, ".")
		if result[group].Targets == nil {
			result[group] = note.Sections{Targets: map[string]note.Target{}}
		}
		result[group].Targets[name] = t
	}
	return result
}

func joinSections(a, b note.Sections) note.Sections {
	return note.Sections{
		Domains:    joinMaps(a.Domains, b.Domains),
		Services:   joinMaps(a.Services, b.Services),
		Targets:    joinMaps(a.Targets, b.Targets),
		Pipelines:  joinMaps(a.Pipelines, b.Pipelines),
		Classes:    joinMaps(a.Classes, b.Classes),
		Accounts:   joinMaps(a.Accounts, b.Accounts),
		Objectives: joinMaps(a.Objectives, b.Objectives),
		Orders:     joinMaps(a.Orders, b.Orders),
		Limits:     joinMaps(a.Limits, b.Limits),
		Routes:     joinMaps(a.Routes, b.Routes),
	}
}

// joinMaps adds the elements of b to a and returns a. If a is nil, it returns a
// clone of b, so that later calls do not modify a map that images share.
func joinMaps[T any](a, b map[string]T) map[string]T {
	if len(b) == 0 {
		return a
	}
	if a == nil {
		return maps.Clone(b)
	}
	maps.Copy(a, b)
	return a
}

func hashOf(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:hashBytes])
}

// checksum returns a hash over the names and content hashes of all parts.
func checksum(parts map[string]part) string {
	var lines []string
	for name, p := range parts {
		lines = append(lines, name+" "+p.hash)
	}
	slices.SortFunc(lines, cmp.Compare)
	return hashOf([]byte(strings.Join(lines, "\n")))
}
