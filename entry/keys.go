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

// keyRequest is the body of a request for an idempotency key. Class is
// required, and either Model or Service.
type keyRequest struct {
	Class   string `json:"class"`
	Model   string `json:"model"`
	Service string `json:"service"`
}

// keyResponse is a minted key.
type keyResponse struct {
	Key     string    `json:"key"`
	Expires time.Time `json:"expires"`
}

// handleMintKey serves POST /v1/keys. The key names one agent incarnation, and
// only that one may run the request.
func (e *Entry) handleMintKey(ctx iris.Context) {
	c, refusal := e.authenticate(ctx)
	if refusal == nil {
		refusal = e.mint(ctx, c)
	}
	if refusal != nil {
		e.refuse(ctx, newID(), refusal)
	}
}

// mint chooses an agent, as for a request, and responds with a key that names
// its current incarnation.
func (e *Entry) mint(ctx iris.Context, c caller) *outcome.Refusal {
	claim := e.newClaim(ctx.Request())
	claim.Attribute(c.account.Name)
	defer claim.Release()
	body, refusal := readBody(ctx, claim, c.config.Manifest.Limits.MaxBodyBytes)
	if refusal != nil {
		return refusal
	}
	var keyReq keyRequest
	if err := json.Unmarshal(body, &keyReq); err != nil {
		return badRequest("the body is not valid JSON: " + err.Error())
	}
	if refusal := keyReq.validate(c); refusal != nil {
		return refusal
	}
	class, _ := c.config.Class(keyReq.Class)
	chosen, ok := e.agents.pick(&routing.Request{
		Tier: class.Tier, Class: keyReq.Class, Model: keyReq.Model, Service: keyReq.Service, Account: c.account.Name,
	})
	if !ok {
		return outcome.Refuse(outcome.ReasonNoBackendServer, "no backend server for it is reachable").WithRetryAfter(time.Second)
	}
	e.agents.releasePick(chosen)
	now := e.deps.Clock.Now()
	key := idempotency.Mint(chosen.vm.Name, string(chosen.incarnation), c.account.Name, now, rand.Reader)
	writeJSON(ctx.ResponseWriter(), http.StatusCreated, keyResponse{
		Key: key.String(), Expires: now.Add(c.config.Manifest.Limits.KeyValidity),
	})
	return nil
}

func (k *keyRequest) validate(c caller) *outcome.Refusal {
	if _, ok := c.config.Class(k.Class); !ok {
		return badRequest("class is missing or not known")
	}
	if !c.account.Allows(k.Class) {
		return outcome.Refuse(outcome.ReasonForbidden, "the account may not use the class "+k.Class)
	}
	_, isModel := c.config.Model(k.Model)
	_, isService := c.config.Service(k.Service)
	if isModel == isService {
		return badRequest("name either a model or a service that is known")
	}
	return nil
}
