package entry

import (
	"crypto/rand"
	"encoding/json"
	"net/http"
	"time"

	"github.com/kataras/iris/v12"

	"github.com/sesameswitch/sesameswitch/idempotency"
	"github.com/sesameswitch/sesameswitch/outcome"
	"github.com/sesameswitch/sesameswitch/routing"
)

// keyRequest asks for an idempotency key. Class is needed, and either Model
// or Service.
type keyRequest struct {
	Class   string `json:"class"`
	Model   string `json:"model"`
	Service string `json:"service"`
}

// keyReply is a minted key.
type keyReply struct {
	Key     string    `json:"key"`
	Expires time.Time `json:"expires"`
}

// mintKey serves POST /v1/keys. The key names one agent incarnation, which
// alone may run the request.
func (e *Entry) mintKey(ctx iris.Context) {
	c, refusal := e.authenticate(ctx)
	if refusal == nil {
		refusal = e.mint(ctx, c)
	}
	if refusal != nil {
		e.refuse(ctx, newID(), refusal)
	}
}

func (e *Entry) mint(ctx iris.Context, c caller) *outcome.Refusal {
	body, refusal := readBody(ctx, c.view.Manifest.Limits.MaxBodyBytes)
	if refusal != nil {
		return refusal
	}
	var want keyRequest
	if err := json.Unmarshal(body, &want); err != nil {
		return badRequest("the body is not valid JSON: " + err.Error())
	}
	if refusal := want.check(c); refusal != nil {
		return refusal
	}
	class, _ := c.view.Class(want.Class)
	chosen, ok := e.agents.pick(&routing.Request{
		Tier: class.Tier, Class: want.Class, Model: want.Model, Service: want.Service, Account: c.account.Name,
	})
	if !ok {
		return outcome.Refuse(outcome.ReasonNoBackendServer, "no backend server for it is reachable").WithRetryAfter(time.Second)
	}
	e.agents.release(chosen)
	now := e.deps.Clock.Now()
	key := idempotency.Mint(chosen.vm.Name, string(chosen.incarnation), c.account.Name, now, rand.Reader)
	writeJSON(ctx.ResponseWriter(), http.StatusCreated, keyReply{
		Key: key.String(), Expires: now.Add(c.view.Manifest.Limits.KeyValidity),
	})
	return nil
}

func (k *keyRequest) check(c caller) *outcome.Refusal {
	if _, ok := c.view.Class(k.Class); !ok {
		return badRequest("class is missing or not known")
	}
	if !c.account.Allows(k.Class) {
		return outcome.Refuse(outcome.ReasonForbidden, "the account may not use the class "+k.Class)
	}
	_, model := c.view.Model(k.Model)
	_, service := c.view.Service(k.Service)
	if model == service {
		return badRequest("name either a model or a service that is known")
	}
	return nil
}
