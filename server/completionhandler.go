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
		ID      string        `json:"id"`
		Object  string        `json:"object"`
		Created int64         `json:"created"`
		OwnedBy namer.Service `json:"owned_by"`
	}
	list := struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{Object: "list", Data: []model{}}
	for _, service := range x.caller.Services {
		for _, name := range x.snapshot.Models(service) {
			list.Data = append(list.Data, model{ID: string(service) + "/" + string(name), Object: "model", OwnedBy: service})
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
	name, service, ok := x.modelService(c)
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
		ID: x.id.Stream, Caller: x.name, Weight: x.caller.Weight, Service: name, Model: c.Model, Rank: rank, Idempotent: true,
		PromptTokens: c.Prompt, MaxTokens: c.MaxTokens, Prefix: c.Prefix, Deadline: x.began.Add(service.Deadline.Std()),
	}
	ctx, stop := x.until(request.Deadline)
	defer stop()
	ticket, err := x.server.Dispatcher.Submit(ctx, request)
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
		if s := x.snapshot.Document().Services[name]; s.Kind == configurer.KindModel {
			limit = max(limit, maxBody(s))
		}
	}
	control := http.NewResponseController(x.w)
	control.SetReadDeadline(time.Now().Add(cmp.Or(x.server.BodyTimeout, DefaultBodyTimeout)))
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

// modelService returns the service that a completion names as "service/model", or the only one of the
// caller's services that offers the model.
func (x *exchange) modelService(c *completion) (namer.Service, configurer.Service, bool) {
	services := x.snapshot.Document().Services
	var found []namer.Service
	for _, name := range x.caller.Services {
		if (c.Service == "" || c.Service == name) && x.snapshot.Offers(name, c.Model) {
			found = append(found, name)
		}
	}
	switch {
	case len(found) == 1:
		return found[0], services[found[0]], true
	case len(found) > 1:
		x.refuse(classifier.BadRequest, "several services offer the model; name it as service/model, as GET /v1/models does")
	case x.offered(c):
		x.refuse(classifier.Forbidden, "the caller may not use the service that offers the model")
	default:
		x.refuse(classifier.NotFound, "the model does not exist")
	}
	return "", configurer.Service{}, false
}

// offered reports whether any service offers the model of a completion.
func (x *exchange) offered(c *completion) bool {
	for name := range x.snapshot.Document().Services {
		if (c.Service == "" || c.Service == name) && x.snapshot.Offers(name, c.Model) {
			return true
		}
	}
	return false
}

// target returns the address of an endpoint in the view of this request, or in the newest one when
// the endpoint was added later.
func (x *exchange) target(name namer.Endpoint) (generator.Target, bool) {
	e, ok := x.snapshot.Document().Endpoints[name]
	if !ok {
		x.snapshot = x.server.Snapshot()
		e, ok = x.snapshot.Document().Endpoints[name]
	}
	return generator.Target{Endpoint: name, Address: e.Address}, ok
}

// Targets returns all engines of a service with their addresses. Leaving ones are included, because
// streams go on there.
func Targets(snapshot *configurer.Snapshot, service namer.Service) []generator.Target {
	names := snapshot.Endpoints(service)
	targets := make([]generator.Target, 0, len(names))
	for _, name := range names {
		targets = append(targets, generator.Target{Endpoint: name, Address: snapshot.Document().Endpoints[name].Address})
	}
	return targets
}
