package entry

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/sesameswitch/sesameswitch/outcome"
)

const testDepth = 8

func TestDecodeChatRefusesInvalidBody(t *testing.T) {
	cases := map[string]string{
		"empty":                 ``,
		"not JSON":              `model=x`,
		"truncated":             `{"model":"m","messages":[`,
		"an array":              `[1]`,
		"a string":              `"x"`,
		"trailing data":         `{"model":"m","messages":[]} x`,
		"no model":              `{"messages":[]}`,
		"model not a string":    `{"model":1,"messages":[]}`,
		"no messages":           `{"model":"m"}`,
		"messages not an array": `{"model":"m","messages":{}}`,
		"messages null":         `{"model":"m","messages":null}`,
		"priority":              `{"model":"m","messages":[],"priority":1}`,
		"resume":                `{"model":"m","messages":[],"sesame_resume_after":1}`,
		"too deep":              `{"model":"m","messages":` + strings.Repeat("[", testDepth) + strings.Repeat("]", testDepth) + `}`,
	}
	for name, body := range cases {
		t.Run(name, func(t *testing.T) {
			_, refusal := decodeChat([]byte(body), testDepth)
			if refusal == nil || refusal.Reason != outcome.ReasonBadRequest || refusal.Outcome != outcome.NotRun {
				t.Fatalf("refusal %v, want reason bad_request and outcome not_run", refusal)
			}
		})
	}
}

func TestDecodeChatAcceptsValidBody(t *testing.T) {
	body := ` {"model":"m","stream":true,"messages":[{"role":"user","content":"[[[[[[[[[[ \" {{{{{"}],"temperature":1}`
	chat, refusal := decodeChat([]byte(body), testDepth)
	if refusal != nil || chat.Model != "m" || !chat.Stream {
		t.Fatalf("request %+v, refusal %v, want a stream for model m and no refusal", chat, refusal)
	}
}

// FuzzDecodeChat checks that an accepted body is a JSON object, to which the
// agent can add fields, and that no body makes the decoder panic.
func FuzzDecodeChat(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"hello"}]}`))
	f.Add([]byte(`{"model":"m","stream":true,"messages":[]}` + "\n"))
	f.Add([]byte(`{"model":"m","messages":[[[[[[[[[[[]]]]]]]]]]]}`))
	f.Add([]byte(`{"model":"\u0000","messages":["\\\"{"]}`))
	f.Add([]byte("{\"model\":\"m\",\"messages\":[]}\x00"))
	f.Fuzz(func(t *testing.T, body []byte) {
		chat, refusal := decodeChat(body, testDepth)
		if refusal != nil {
			return
		}
		var object map[string]json.RawMessage
		if err := json.Unmarshal(body, &object); err != nil || chat.Model == "" {
			t.Fatalf("accepted %q, want a JSON object with a model: %v", body, err)
		}
	})
}

func TestUnsafePaths(t *testing.T) {
	cases := map[string]bool{
		"/v1/services/booking/catalogue":      false,
		"/v1/services/booking/":               false,
		"/v1/services/booking/a.b":            false,
		"/v1/services/booking/../records":     true,
		"/v1/services/booking/./x":            true,
		"/v1/services//booking":               true,
		"/v1/services/booking/%2e%2e/records": true,
		"/v1/services/booking%2Frecords":      true,
		`/v1/services/booking\..\records`:     true,
	}
	for path, want := range cases {
		if got := isUnsafePath(path); got != want {
			t.Errorf("%s: unsafe %v, want %v", path, got, want)
		}
	}
}
