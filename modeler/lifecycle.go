package modeler

import (
	"slices"
	"time"

	"apricotspool/namer"
)

// Drain makes the engine refuse new work, or accept it again. Running jobs continue, and KV caches in
// transit are still imported.
func (e *Engine) Drain(now time.Duration, on bool) {
	e.runUntil(now)
	e.draining = on
}

// Idle reports whether the engine has no work.
func (e *Engine) Idle() bool { return len(e.queue)+len(e.decoding)+len(e.exports) == 0 }

// Leaving reports whether the engine refuses new work because of a drain or a role change.
func (e *Engine) Leaving() bool { return e.draining || e.changing }

// Down reports whether the engine has crashed and not restarted.
func (e *Engine) Down() bool { return e.down }

// ChangeRole starts a change to another role, which restarts the engine's process and takes the given
// time. Running jobs are lost. The engine refuses all work until the change is complete, which also
// ends a drain.
func (e *Engine) ChangeRole(now time.Duration, role namer.Role, takes time.Duration) {
	e.runUntil(now)
	e.failAll(now)
	e.changing, e.nextRole, e.changeEnd = true, role, now+takes
}

// Crash fails all jobs and stops the engine. A role change in progress is not applied.
func (e *Engine) Crash(now time.Duration) {
	e.runUntil(now)
	e.failAll(now)
	e.draining, e.changing, e.down = false, false, true
}

// failAll fails all jobs and clears the prefix cache.
func (e *Engine) failAll(now time.Duration) {
	for _, sequences := range [][]*sequence{e.queue, e.decoding, e.exports} {
		for _, s := range sequences {
			e.emit(JobFailed, now, s)
		}
	}
	e.queue, e.decoding, e.exports, e.stepPrefills, e.jobs = nil, nil, nil, nil, nil
	e.kvUsed, e.kvHolders, e.stepRunning = 0, 0, false
	e.cache.clear()
}

// Restart starts a crashed engine again, without jobs and with the role it had.
func (e *Engine) Restart(now time.Duration) {
	e.runUntil(now)
	e.down = false
}

// startExport starts the transfer of the KV cache of a processed prompt to another engine. Exports run
// one after the other at full bandwidth and hold their memory until they end.
func (e *Engine) startExport(now time.Duration, s *sequence) {
	free := now
	if n := len(e.exports); n > 0 {
		free = e.exports[n-1].exportEnd
	}
	s.exportEnd = free + time.Duration(float64(s.processed)/e.Class.ExportRate*float64(time.Second))
	e.exports = append(e.exports, s)
}

func (e *Engine) finishExport() {
	s := e.exports[0]
	e.exports = slices.Delete(e.exports, 0, 1)
	e.emit(JobExported, s.exportEnd, s)
	e.releaseKV(s)
	delete(e.jobs, s.job.Stream)
}
