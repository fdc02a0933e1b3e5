package main

import (
	"net/http"

	"github.com/alecthomas/kingpin/v2"

	"apricotspool/imitator"
	"apricotspool/namer"
)

func addEngine(app *kingpin.Application, handlers handlers) {
	command := app.Command("engine", "Model engine.")
	engine := &imitator.Engine{}
	models := command.Flag("model", "Model that the engine has loaded; repeat for more. None serves every model.").Strings()
	role := command.Flag("role", "Role at the start.").Default(string(namer.RoleMixed)).
		Enum(string(namer.RoleMixed), string(namer.RolePrefill), string(namer.RoleDecode))
	command.Flag("first-token", "Time from the start of a stream to its first token.").DurationVar(&engine.FirstToken)
	command.Flag("interval", "Time between tokens; 0 means as fast as they are read.").DurationVar(&engine.Interval)
	command.Flag("tokens", "Length of an answer when the request sets no limit; 0 means the default.").IntVar(&engine.Tokens)
	command.Flag("concurrency", "Streams that run at once; 0 means no limit.").IntVar(&engine.Concurrency)
	command.Flag("keep", "How long a stream is kept that nobody reads; 0 means the default.").DurationVar(&engine.Keep)
	command.Flag("checks-fencing", "Refuse commands with an old fencing number.").BoolVar(&engine.ChecksFencing)
	command.Flag("role-change", "How long a role change takes.").DurationVar(&engine.RoleChange)
	command.Flag("load-lag", "Age of the figures in a load report.").DurationVar(&engine.LoadLag)
	command.Flag("cache-lag", "Delay of cache events.").DurationVar(&engine.CacheLag)
	command.Flag("cache-gap", "Each cache event with a multiple of this number is lost; 0 loses none.").IntVar(&engine.CacheGap)
	handlers[command.FullCommand()] = func() (http.Handler, error) {
		engine.Role = namer.Role(*role)
		for _, m := range *models {
			engine.Models = append(engine.Models, namer.Model(m))
		}
		return &imitator.EngineHandler{Engine: engine}, nil
	}
}
