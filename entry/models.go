package entry

import (
	"net/http"

	"github.com/kataras/iris/v12"
)

// handleModels serves GET /v1/models in the format that OpenAI clients expect.
func (e *Entry) handleModels(ctx iris.Context) {
	c, refusal := e.authenticate(ctx)
	if refusal != nil {
		e.refuse(ctx, newID(), refusal)
		return
	}
	list := modelList{Object: "list", Data: []model{}}
	for _, m := range c.config.Manifest.Models {
		list.Data = append(list.Data, model{ID: m.Name, Object: "model", OwnedBy: c.config.Manifest.Deployment})
	}
	writeJSON(ctx.ResponseWriter(), http.StatusOK, list)
}

type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}
