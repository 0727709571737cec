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

// Prompt returns the prompt text of a chat, from which its answer follows.
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

// Token returns token i, counted from 0, of the answer to a prompt. All
// engines give the same.
func Token(prompt string, i int) string {
	return tokenOf(xxhash.Sum64String(prompt), i)
}

// ResponseText returns the first n tokens of the response to a prompt.
func ResponseText(prompt string, n int) string {
	sum := xxhash.Sum64String(prompt)
	var text strings.Builder
	for i := range n {
		text.WriteString(tokenOf(sum, i))
	}
	return text.String()
}

// tokenOf derives a token from the prompt's hash: a position, a short mark
// of the prompt, and a space.
func tokenOf(promptSum uint64, i int) string {
	mixed := promptSum ^ uint64(i+1)*0x9e3779b97f4a7c15
	mixed ^= mixed >> 29
	mixed *= 0xbf58476d1ce4e5b9
	return strconv.Itoa(i) + "-" + strconv.FormatUint(mixed>>44, 36) + " "
}

// drawLength returns the length of the answer to a prompt, from a lognormal
// distribution. Equal prompts have equal lengths under one seed.
func drawLength(settings *Settings, promptSum uint64) int {
	source := rand.New(rand.NewPCG(settings.Seed, promptSum))
	length := float64(settings.MedianTokens) * math.Exp(settings.Sigma*source.NormFloat64())
	return max(1, int(length))
}
