package entry

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/sesameswitch/sesameswitch/outcome"
)

// prefixBytes is how much of the messages names the prompt's prefix.
const prefixBytes = 1024

// chatRequest is what the entry reads of a chat completion request. All other
// fields pass through.
type chatRequest struct {
	Model    string          `json:"model"`
	Stream   bool            `json:"stream"`
	Messages json.RawMessage `json:"messages"`
	// Priority and ResumeAfter are set by the system alone.
	Priority    json.RawMessage `json:"priority"`
	ResumeAfter json.RawMessage `json:"sesame_resume_after"`
}

// decodeChat reads the body of a chat completion request and refuses what is
// not a JSON object of the right shape.
func decodeChat(body []byte, maxDepth int) (*chatRequest, *outcome.Refusal) {
	if refusal := checkDepth(body, maxDepth); refusal != nil {
		return nil, refusal
	}
	body = bytes.TrimSpace(body)
	if len(body) == 0 || body[0] != '{' {
		return nil, badRequest("the body is not a JSON object")
	}
	var chat chatRequest
	if err := json.Unmarshal(body, &chat); err != nil {
		return nil, badRequest("the body is not valid JSON: " + err.Error())
	}
	return &chat, chat.check()
}

func (c *chatRequest) check() *outcome.Refusal {
	if c.Model == "" {
		return badRequest("model is missing")
	}
	messages := bytes.TrimSpace(c.Messages)
	if len(messages) == 0 || messages[0] != '[' {
		return badRequest("messages is missing or not a list")
	}
	if c.Priority != nil {
		return badRequest("priority is set by the service class")
	}
	if c.ResumeAfter != nil {
		return badRequest("sesame_resume_after is not for callers")
	}
	return nil
}

// prefixHash names the beginning of the prompt, for prefix affinity.
func (c *chatRequest) prefixHash() uint64 {
	return xxhash.Sum64(c.Messages[:min(len(c.Messages), prefixBytes)])
}

// checkDepth refuses JSON that is nested too deeply, before it is decoded.
func checkDepth(body []byte, maxDepth int) *outcome.Refusal {
	depth := 0
	quoted := false
	for i := 0; i < len(body); i++ {
		switch c := body[i]; {
		case quoted && c == '\\':
			i++
		case c == '"':
			quoted = !quoted
		case quoted:
		case c == '{' || c == '[':
			depth++
			if depth > maxDepth {
				return badRequest(fmt.Sprintf("the body is nested deeper than %d levels", maxDepth))
			}
		case c == '}' || c == ']':
			depth--
		}
	}
	return nil
}

func badRequest(detail string) *outcome.Refusal {
	return outcome.Refuse(outcome.ReasonBadRequest, detail)
}
