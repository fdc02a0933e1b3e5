package server

import (
	"cmp"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"apricotspool/classifier"
	"apricotspool/configurer"
	"apricotspool/decider"
	"apricotspool/generator"
	"apricotspool/inspector"
	"apricotspool/namer"
)

// listModels serves GET /v1/models: it lists the models of the services that the caller may use.
func (x *exchange) listModels() {
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
	body, _ := json.Marshal(list) // can't fail: there are only strings and numbers
	x.setRequestID()
	x.w.Header().Set("Content-Type", "application/json")
	x.recordOutcome(classifier.Served)
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
	name, service, ok := x.resolveService(c)
	if !ok {
		return
	}
	if int64(len(body)) > maxBody(service) {
		x.refuse(classifier.TooLarge, "the request body exceeds the service's limit")
		return
	}
	rank, ok := x.rank(service)
	if !ok {
		return
	}
	x.id.Service = name
	request := decider.Request{
		ID: x.id.Stream, Caller: x.callerName, Weight: x.caller.Weight, Service: name, Model: c.Model, Rank: rank, Idempotent: true,
		PromptTokens: c.PromptTokens, MaxTokens: c.MaxTokens, Prefix: c.Prefix, Deadline: x.startTime.Add(service.Deadline.Std()),
	}
	ctx, stop := x.withDeadline(request.Deadline)
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

// readBody reads a body up to the largest limit of all model services that the caller may use. The limit of
// the request's own service is checked later, because the body names the model.
// It refuses the request and returns false if the body can't be read.
func (x *exchange) readBody() ([]byte, bool) {
	limit := int64(0)
	for _, name := range x.caller.Services {
		if s := x.snapshot.Document().Services[name]; s.Kind == configurer.KindModel {
			limit = max(limit, maxBody(s))
		}
	}
	control := http.NewResponseController(x.w)
	control.SetReadDeadline(time.Now().Add(cmp.Or(x.server.BodyTimeout, DefaultBodyTimeout)))
	body, err := x.receiveBody(limit)
	if err == nil && !x.reserve(parsedCopies*int64(len(body))) {
		err = inspector.ErrNoMemory
	}
	control.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, inspector.ErrNoMemory):
		x.refuse(classifier.MemoryExhausted, "")
	case errors.As(err, &tooLarge):
		x.refuse(classifier.TooLarge, "the request body exceeds the limit")
	case err != nil:
		x.refuse(classifier.BadRequest, "the request body could not be read")
	}
	return body, err == nil
}

// resolveService returns the service that the request names as "service/model" or, if it names only a model,
// the only one of the caller's services that offers it.
func (x *exchange) resolveService(c *completionRequest) (namer.Service, configurer.Service, bool) {
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
		x.refuse(classifier.BadRequest, "several services offer the model; specify it as service/model, as GET /v1/models lists it")
	case x.isOffered(c):
		x.refuse(classifier.Forbidden, "the caller is not allowed to use the service that offers the model")
	default:
		x.refuse(classifier.NotFound, "the model does not exist")
	}
	return "", configurer.Service{}, false
}

// isOffered reports whether any service, allowed to the caller or not, offers the requested model.
func (x *exchange) isOffered(c *completionRequest) bool {
	for name := range x.snapshot.Document().Services {
		if (c.Service == "" || c.Service == name) && x.snapshot.Offers(name, c.Model) {
			return true
		}
	}
	return false
}

// target looks up an endpoint in the configuration snapshot of this request and, if the endpoint was added
// later, in the latest snapshot.
func (x *exchange) target(name namer.Endpoint) (generator.Target, bool) {
	e, ok := x.snapshot.Document().Endpoints[name]
	if !ok {
		x.snapshot = x.server.Snapshot()
		e, ok = x.snapshot.Document().Endpoints[name]
	}
	return generator.Target{Endpoint: name, Address: e.Address}, ok
}

// Targets returns the addresses of all engines of a service, including those that are leaving, because their
// streams continue.
func Targets(snapshot *configurer.Snapshot, service namer.Service) []generator.Target {
	names := snapshot.Endpoints(service)
	targets := make([]generator.Target, 0, len(names))
	for _, name := range names {
		targets = append(targets, generator.Target{Endpoint: name, Address: snapshot.Document().Endpoints[name].Address})
	}
	return targets
}
