package routing

import "testing"

// TestCacheIsTransferredFromOtherSoftwareVersion guards against KV cache that a server gets from
// one of another software version. The server of its own version that has cached the prompt, if
// any, is the source also if another one has cached more.
func TestCacheIsTransferredFromOtherSoftwareVersion(t *testing.T) {
	job := func() *Job {
		j := comparison("part")
		j.TransferRate, j.Segments = 2000, append(j.Segments, Segment{ID: "more", Tokens: 2_500})
		return j
	}
	for _, test := range []struct {
		name   string
		cached []string // servers that have cached the first segment; the first one also the second
		source map[string]string
	}{
		{"only the other version has it", []string{"old-1"}, map[string]string{"old-2": "old-1", "new-1": "", "new-2": ""}},
		{"both versions have it", []string{"old-1", "new-1"}, map[string]string{"old-2": "old-1", "new-2": "new-1"}},
		{"a server that states no version", []string{"unknown-1"}, map[string]string{"unknown-2": "", "old-1": "", "new-1": ""}},
	} {
		servers := []Server{{ID: "new-1", SoftwareVersion: "v2"}, {ID: "new-2", SoftwareVersion: "v2"}, {ID: "old-1", SoftwareVersion: "v1"}, {ID: "old-2", SoftwareVersion: "v1"}, {ID: "unknown-1"}, {ID: "unknown-2"}}
		s := newTestScheduler("dc-0")
		for i, id := range test.cached {
			segments := job().Segments[:max(1, 2-i)]
			for k := range segments {
				segments[k].Prefilled = true
			}
			s.state(id).applySegments(epoch, segments, 567_000)
		}
		for server, source := range test.source {
			excluded := make(map[string]bool)
			for _, other := range servers {
				excluded[other.ID] = other.ID != server
			}
			if c, ok := s.Choose(epoch, job(), servers, excluded); !ok || c.TransferSource != source {
				t.Errorf("%s: %s gets the KV cache of %q, want %q", test.name, server, c.TransferSource, source)
			}
		}
	}
}
