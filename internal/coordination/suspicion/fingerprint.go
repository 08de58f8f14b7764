package suspicion

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"math"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/suspect"
)

// fingerprintBytes is the length of a fingerprint, a truncated SHA-256 hash.
// Requests are refused by their fingerprint, so callers must not be able to
// construct two requests with the same one.
const fingerprintBytes = 16

// Fingerprint hashes what determines an engine's work on a request: model,
// adapter, prompt, and sampling with its seed. It includes the organisation.
func Fingerprint(spec model.GenerationSpec) suspect.Fingerprint {
	h := sha256.New()
	writeString(h, string(spec.Organisation))
	writeString(h, spec.Model)
	writeString(h, spec.Adapter)
	writeString(h, spec.Prompt)
	s := spec.Sampling
	writeNumber(h, math.Float64bits(s.Temperature))
	writeNumber(h, math.Float64bits(s.TopP))
	writeNumber(h, uint64(s.Seed))
	writeNumber(h, uint64(s.MaxTokens))
	writeNumber(h, uint64(len(s.Stop)))
	for _, stop := range s.Stop {
		writeString(h, stop)
	}
	return suspect.Fingerprint(hex.EncodeToString(h.Sum(nil)[:fingerprintBytes]))
}

// RequestFingerprint hashes the parts of a forwarded request that stay the same
// when it is repeated. Header fields are left out, since they differ between
// repeats.
func RequestFingerprint(organisation model.OrganisationID, method, host, path, query string, body []byte) suspect.Fingerprint {
	h := sha256.New()
	for _, part := range []string{string(organisation), method, host, path, query} {
		writeString(h, part)
	}
	h.Write(body)
	return suspect.Fingerprint(hex.EncodeToString(h.Sum(nil)[:fingerprintBytes]))
}

// PartFingerprint names a part of a prompt that several requests to a service share.
// Callers choose the IDs of parts.
func PartFingerprint(service, part string) suspect.Fingerprint {
	h := sha256.New()
	for _, text := range []string{"prompt part", service, part} {
		writeString(h, text)
	}
	return suspect.Fingerprint(hex.EncodeToString(h.Sum(nil)[:fingerprintBytes]))
}

// writeString hashes the length of the string and then the string, so that no
// two lists of strings give the same hash input.
func writeString(h hash.Hash, s string) {
	writeNumber(h, uint64(len(s)))
	h.Write([]byte(s))
}

func writeNumber(h hash.Hash, n uint64) {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], n)
	h.Write(b[:])
}
