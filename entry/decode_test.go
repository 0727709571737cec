package entry

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/sesameswitch/sesameswitch/outcome"
)

const testDepth = 8

func TestDecodeChatRefuses(t *testing.T) {
	cases := map[string]string{
		"empty":               ``,
		"not JSON":            `model=x`,
		"cut short":           `{"model":"m","messages":[`,
		"a list":              `[1]`,
		"a string":            `"x"`,
		"trailing data":       `{"model":"m","messages":[]} x`,
		"no model":            `{"messages":[]}`,
		"model not a string":  `{"model":1,"messages":[]}`,
		"no messages":         `{"model":"m"}`,
		"messages not a list": `{"model":"m","messages":{}}`,
		"messages null":       `{"model":"m","messages":null}`,
		"priority":            `{"model":"m","messages":[],"priority":1}`,
		"resume":              `{"model":"m","messages":[],"sesame_resume_after":1}`,
		"too deep":            `{"model":"m","messages":` + strings.Repeat("[", testDepth) + strings.Repeat("]", testDepth) + `}`,
	}
	for name, body := range cases {
		t.Run(name, func(t *testing.T) {
			_, refusal := decodeChat([]byte(body), testDepth)
			if refusal == nil || refusal.Reason != outcome.ReasonBadRequest || refusal.Outcome != outcome.NotRun {
				t.Fatalf("refusal %v", refusal)
			}
		})
	}
}

func TestDecodeChatAccepts(t *testing.T) {
	body := ` {"model":"m","stream":true,"messages":[{"role":"user","content":"[[[[[[[[[[ \" {{{{{"}],"temperature":1}`
	chat, refusal := decodeChat([]byte(body), testDepth)
	if refusal != nil || chat.Model != "m" || !chat.Stream {
		t.Fatalf("%+v, refusal %v", chat, refusal)
	}
}

// FuzzDecodeChat checks that what is accepted is a JSON object that the agent
// can add its fields to, and that nothing makes the decoder panic.
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
			t.Fatalf("accepted %q: %v", body, err)
		}
	})
}

func TestClimbs(t *testing.T) {
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
		if got := climbs(path); got != want {
			t.Errorf("%s: %v, want %v", path, got, want)
		}
	}
}
