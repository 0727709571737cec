package entry

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/sesameswitch/sesameswitch/outcome"
)

// maxPrefixBytes is how many bytes of the messages are hashed as the prompt's
// prefix.
const maxPrefixBytes = 1024

// chatRequest holds the fields of a chat completion request that the entry
// reads. All other fields pass through unchanged.
type chatRequest struct {
	Model    string          `json:"model"`
	Stream   bool            `json:"stream"`
	Messages json.RawMessage `json:"messages"`
	// Priority and ResumeAfter must be absent: only the system may set them.
	Priority    json.RawMessage `json:"priority"`
	ResumeAfter json.RawMessage `json:"sesame_resume_after"`
}

// decodeChat decodes the body of a chat completion request. It refuses a body
// that is not a JSON object with the required fields.
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
	return &chat, chat.validate()
}

func (c *chatRequest) validate() *outcome.Refusal {
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

// prefixHash returns the hash of the start of the prompt, for prefix affinity.
func (c *chatRequest) prefixHash() uint64 {
	return xxhash.Sum64(c.Messages[:min(len(c.Messages), maxPrefixBytes)])
}

// checkDepth refuses JSON that is nested too deeply, before it is decoded.
func checkDepth(body []byte, maxDepth int) *outcome.Refusal {
	depth := 0
	inString := false
	for i := 0; i < len(body); i++ {
		switch c := body[i]; {
		case inString && c == '\\':
			i++
		case c == '"':
			inString = !inString
		case inString:
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
