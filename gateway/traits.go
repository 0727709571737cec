package gateway

import (
	"net/url"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/sesameswitch/sesameswitch/ingress"
	"github.com/sesameswitch/sesameswitch/quarantine"
)

// maxTraitBytes limits the length of a trait, so that reports fit into datagrams; longer
// ones are replaced by a hash.
const maxTraitBytes = 96

// newTraits returns the traits of a request: that it asks just this for this account, and
// the segments of its prompt that other requests may share.
func newTraits(req *request) []quarantine.Trait {
	segments := req.Segments[:min(len(req.Segments), quarantine.MaxTraits-1)]
	traits := make([]quarantine.Trait, 0, len(segments)+1)
	for _, segment := range segments {
		traits = append(traits, newTrait(req.service.Name, segmentTrait, segment.ID))
	}
	account := ""
	if req.account != nil {
		account = req.account.Name
	}
	return append(traits, newTrait(req.service.Name, contentTrait, req.content+" "+account))
}

// Kinds of traits.
const (
	segmentTrait = "/segment/"
	contentTrait = "/content/"
)

// newTrait returns the trait of a kind with the given ID. What crashes the servers of one
// service may be harmless at another.
func newTrait(service, kind, id string) quarantine.Trait {
	group, escaped := url.PathEscape(service), url.PathEscape(id)
	if len(group)+len(kind)+len(escaped) > maxTraitBytes {
		group, escaped = hashOf(service), hashOf(id)
	}
	return quarantine.Trait(group + kind + escaped)
}

// contentOf returns a hash of what a request asks.
func contentOf(in *ingress.Request) string {
	h := xxhash.New()
	for _, part := range []string{in.Method, hostName(in.Host), in.Target} {
		_, _ = h.WriteString(part) // a hash returns no error
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(in.Body)
	return strconv.FormatUint(h.Sum64(), 16)
}

func hashOf(text string) string { return strconv.FormatUint(xxhash.Sum64String(text), 16) }
