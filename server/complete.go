package server

import (
	"cmp"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"apricotspool/classifier"
	"apricotspool/configurer"
	"apricotspool/decider"
	"apricotspool/generator"
	"apricotspool/namer"
)

// models answers with the models of the services that the caller may use.
func (x *exchange) models() {
	type model struct {
		ID      namer.Model `json:"id"`
		Object  string      `json:"object"`
		Created int64       `json:"created"`
		OwnedBy string      `json:"owned_by"`
	}
	list := struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{Object: "list", Data: []model{}}
	seen := map[namer.Model]bool{}
	for _, service := range x.caller.Services {
		for _, name := range x.view.Snapshot.Models(service) {
			if !seen[name] {
				seen[name] = true
				list.Data = append(list.Data, model{ID: name, Object: "model", OwnedBy: string(service)})
			}
		}
	}
	body, _ := json.Marshal(list) // strings and numbers only, which always encode
	x.sendID()
	x.w.Header().Set("Content-Type", "application/json")
	x.finish(classifier.Served)
	x.w.Write(body)
}

// complete serves a chat or text completion.
func (x *exchange) complete(operation generator.Operation) {
	body, ok := x.readBody()
	if !ok {
		return
	}
	c, err := parseCompletion(operation, body)
	if err != nil {
		x.refuse(classifier.BadRequest, err.Error())
		return
	}
	name, service, ok := x.modelService(c.Model)
	if !ok {
		return
	}
	if int64(len(body)) > maxBody(service) {
		x.refuse(classifier.TooLarge, "the body is over the service's limit")
		return
	}
	rank, ok := x.rank(service)
	if !ok {
		return
	}
	x.id.Service = name
	request := decider.Request{
		ID: x.id.Stream, Caller: x.name, Service: name, Model: c.Model, Rank: rank, Idempotent: true,
		PromptTokens: c.Prompt, MaxTokens: c.MaxTokens, Prefix: c.Prefix, Deadline: x.began.Add(service.Deadline.Std()),
	}
	ctx, stop := x.until(request.Deadline)
	defer stop()
	ticket, err := x.server.Dispatcher.Arrive(ctx, request)
	if err != nil {
		x.refuse(classifier.Draining, "")
		return
	}
	newRelay(x, ticket, operation, c, rank).run(ctx)
}

func maxBody(service configurer.Service) int64 {
	return cmp.Or(service.MaxBody, configurer.DefaultMaxBody)
}

// readBody reads a body up to the largest limit of the caller's model services; the limit of the one
// that serves the request is known only after the model is.
func (x *exchange) readBody() ([]byte, bool) {
	limit := int64(0)
	for _, name := range x.caller.Services {
		if s := x.view.Snapshot.Document().Services[name]; s.Kind == configurer.KindModel {
			limit = max(limit, maxBody(s))
		}
	}
	control := http.NewResponseController(x.w)
	control.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, limit))
	control.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		x.refuse(classifier.TooLarge, "the body is over the limit")
	case err != nil:
		x.refuse(classifier.BadRequest, "the body could not be read")
	}
	return body, err == nil
}

// modelService returns the first of the caller's services that offers a model.
func (x *exchange) modelService(model namer.Model) (namer.Service, configurer.Service, bool) {
	snapshot := x.view.Snapshot
	for _, name := range x.caller.Services {
		if snapshot.Offers(name, model) {
			return name, snapshot.Document().Services[name], true
		}
	}
	for name := range snapshot.Document().Services {
		if snapshot.Offers(name, model) {
			x.refuse(classifier.Forbidden, "the caller may not use a service with this model")
			return "", configurer.Service{}, false
		}
	}
	x.refuse(classifier.NotFound, "the model does not exist")
	return "", configurer.Service{}, false
}

// target returns the address of an endpoint in the view of this request, or in the newest one when
// the endpoint was added later.
func (x *exchange) target(name namer.Endpoint) (generator.Target, bool) {
	e, ok := x.view.Snapshot.Document().Endpoints[name]
	if !ok {
		x.view = x.server.Dispatcher.View()
		e, ok = x.view.Snapshot.Document().Endpoints[name]
	}
	return generator.Target{Endpoint: name, Address: e.Address}, ok
}
