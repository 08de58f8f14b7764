package engine

import (
	"encoding/binary"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// tokenBits is the number of random bits of a token, which has up to 6 base-36
// digits. Two tokens of different sources are equal with probability 2^-28.
const tokenBits = 28

// Token returns the token that an engine without Noise produces at a position.
// A request with an adapter uses the version AdaptedVersion.
func Token(version, prompt string, seed int64, position int) string {
	return newTokenSource(version, prompt, seed).tokenAt(position)
}

// NoisyToken returns the token that an engine with Noise produces at a
// position of the given stream.
func NoisyToken(version, prompt string, seed int64, stream string, position int) string {
	return newNoisySource(version, prompt, seed, stream).tokenAt(position)
}

// AdaptedVersion returns the version name under which the tokens of a request
// with an adapter are produced.
func AdaptedVersion(version, adapter string) string {
	if adapter == "" {
		return version
	}
	return version + "+" + adapter
}

// PromptHash returns the key of a prompt in Stats.PromptRuns, its xxhash in hex.
func PromptHash(prompt string) string {
	return strconv.FormatUint(xxhash.Sum64String(prompt), 16)
}

// tokenSource is a hash of a stream's inputs, from which its tokens are derived.
type tokenSource uint64

func newTokenSource(version, prompt string, seed int64) tokenSource {
	digest := xxhash.New()
	_, _ = digest.WriteString(version) // never fails
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(prompt)
	_, _ = digest.Write(binary.BigEndian.AppendUint64(nil, uint64(seed)))
	return tokenSource(digest.Sum64())
}

func newNoisySource(version, prompt string, seed int64, stream string) tokenSource {
	return newTokenSource(version+"\x00"+stream, prompt, seed)
}

func (s tokenSource) tokenAt(position int) string {
	var input [16]byte
	binary.BigEndian.PutUint64(input[:8], uint64(s))
	binary.BigEndian.PutUint64(input[8:], uint64(position))
	return " " + strconv.FormatUint(xxhash.Sum64(input[:])>>(64-tokenBits), 36)
}
