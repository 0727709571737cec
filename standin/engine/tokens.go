package engine

import (
	"math"
	"math/rand/v2"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Prompt returns the prompt text of a chat: the contents of its messages, separated
// by newlines. The text of the response depends only on it.
func Prompt(messages []Message) string {
	var text strings.Builder
	for i, m := range messages {
		if i > 0 {
			text.WriteByte('\n')
		}
		text.WriteString(m.Content)
	}
	return text.String()
}

// Token returns token i, counted from 0, of the response to a prompt. All engines
// return the same.
func Token(prompt string, i int) string {
	return tokenText(xxhash.Sum64String(prompt), i)
}

// ResponseText returns the first n tokens of the response to a prompt.
func ResponseText(prompt string, n int) string {
	promptHash := xxhash.Sum64String(prompt)
	var text strings.Builder
	for i := range n {
		text.WriteString(tokenText(promptHash, i))
	}
	return text.String()
}

// tokenText derives token i from the hash of the prompt. The token consists of its
// index, a hyphen, a 20-bit hash of prompt and index, and a space. A test can thus
// detect missing and repeated tokens and tokens of other responses. The constants of
// the hash are those of SplitMix64.
func tokenText(promptHash uint64, i int) string {
	mixed := promptHash ^ uint64(i+1)*0x9e3779b97f4a7c15
	mixed ^= mixed >> 29
	mixed *= 0xbf58476d1ce4e5b9
	return strconv.Itoa(i) + "-" + strconv.FormatUint(mixed>>44, 36) + " "
}

// sampleLength samples the length of the response to a prompt, in tokens, from a
// lognormal distribution. Equal settings and prompts give equal lengths.
func sampleLength(settings *Settings, promptHash uint64) int {
	rng := rand.New(rand.NewPCG(settings.Seed, promptHash))
	length := float64(settings.MedianTokens) * math.Exp(settings.Sigma*rng.NormFloat64())
	return max(1, int(length))
}
