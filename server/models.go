package server

import (
	"encoding/json"

	"apricotspool/namer"
)

// modelEntry is one model in OpenAI's list.
type modelEntry struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	OwnedBy namer.Service `json:"owned_by"`
}

type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

// models lists the models of the services that the caller may use.
func (s *Server) models(x *exchange) {
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, name := range x.caller.Services {
		for _, model := range x.snapshot.Models(name) {
			list.Data = append(list.Data, modelEntry{ID: string(name) + "/" + string(model), Object: "model", OwnedBy: name})
		}
	}
	x.w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(x.w).Encode(list)
}

// resolve finds the service of the caller that offers a model. A bare model name must belong to
// exactly one of the caller's services.
func (x *exchange) resolve(name string) (namer.Service, namer.Model, bool) {
	wanted, model := splitModel(name)
	var found []namer.Service
	for _, service := range x.caller.Services {
		if (wanted == "" || wanted == service) && x.snapshot.Offers(service, model) {
			found = append(found, service)
		}
	}
	if len(found) != 1 {
		return "", "", false
	}
	return found[0], model, true
}
