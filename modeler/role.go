package modeler

import (
	"slices"
	"time"

	"apricotspool/namer"
)

// Drain makes the engine refuse new work, or accept it again. What runs goes on, and KV caches that
// are on their way are still imported.
func (e *Engine) Drain(now time.Duration, on bool) {
	e.run(now)
	e.draining = on
}

// Idle reports whether no work is left on the engine.
func (e *Engine) Idle() bool { return len(e.queue)+len(e.decoding)+len(e.exports) == 0 }

// Leaving reports whether the engine refuses new work because it drains or changes its role.
func (e *Engine) Leaving() bool { return e.draining || e.changing }

// Down reports whether the engine has crashed and not restarted.
func (e *Engine) Down() bool { return e.down }

// ChangeRole starts a change to another role, which restarts the engine's process and takes the given
// time. Whatever still runs is lost. The engine refuses all work until the change is done and accepts
// work again after it.
func (e *Engine) ChangeRole(now time.Duration, role namer.Role, takes time.Duration) {
	e.run(now)
	e.lose(now)
	e.changing, e.nextRole, e.changeEnd = true, role, now+takes
}

// Crash ends everything on the engine. A role change in progress is not applied.
func (e *Engine) Crash(now time.Duration) {
	e.run(now)
	e.lose(now)
	e.draining, e.changing, e.down = false, false, true
}

// lose drops all work and the prefix cache.
func (e *Engine) lose(now time.Duration) {
	for _, sequences := range [][]*sequence{e.queue, e.decoding, e.exports} {
		for _, s := range sequences {
			e.emit(JobFailed, now, s)
		}
	}
	e.queue, e.decoding, e.exports, e.chunked, e.jobs = nil, nil, nil, nil, nil
	e.kvUsed, e.holding, e.stepping = 0, 0, false
	e.cache.clear()
}

// Restart starts a crashed engine again, empty and with the role it had.
func (e *Engine) Restart(now time.Duration) {
	e.run(now)
	e.down = false
}

// export starts to move the KV cache of a finished prompt to another engine. Exports share the
// bandwidth one after the other and hold their memory until they end.
func (e *Engine) export(now time.Duration, s *sequence) {
	free := now
	if n := len(e.exports); n > 0 {
		free = e.exports[n-1].exported
	}
	s.exported = free + time.Duration(float64(s.done)/e.Class.ExportRate*float64(time.Second))
	e.exports = append(e.exports, s)
}

func (e *Engine) finishExport() {
	s := e.exports[0]
	e.exports = slices.Delete(e.exports, 0, 1)
	e.emit(JobExported, s.exported, s)
	e.free(s)
	delete(e.jobs, s.job.Stream)
}
