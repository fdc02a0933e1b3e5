//go:build review

package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// oversizeUsage is more than the 1,191,556 tokens of a server's memory.
	oversizeUsage = "1200000,1250000"
	oversizeTries = 2 // the first one and the one retry of the sheet
	oversizeAfter = 40 * time.Second
)

// oversizeRequest has one user send a request that is larger than a server's memory, and send it once more.
func oversizeRequest(w *world, trouble bool) (verdict, error) {
	if err := startBelt(w); err != nil {
		return verdict{}, err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var wg sync.WaitGroup
	all := &calls{}
	for _, d := range w.daemons {
		w.load(ctx, &wg, all, d.zone, 10, orderPlace)
		w.load(ctx, &wg, all, d.zone, 7, catalogRead)
	}
	time.Sleep(8 * time.Second)
	if trouble {
		large := fitterAsk
		large.route, large.header = "large-ask", map[string]string{"Model": "m", "Token-Usage": oversizeUsage, "Prompt-Prefix": "a1:48,b2:32,d4:1199920"}
		for try := range oversizeTries {
			c := w.send(w.daemons[try], large) // a retry reaches another gateway
			all.add(c)
			w.note("large request to %s: status %d, %v", c.to.name, c.status, c.err)
			if c.status == http.StatusOK {
				break
			}
		}
	}
	time.Sleep(oversizeAfter - judgedFor)
	v := w.judgeHangs(all)
	stop()
	wg.Wait()
	w.recordCalls(all.list)
	asked, served := 0, 0
	for _, c := range all.list {
		if c.route == "large-ask" {
			asked++
			if c.status == http.StatusOK {
				served++
			}
		}
	}
	v.text += fmt.Sprintf("large requests: %d sent, %d served\n", asked, served)
	return v, nil
}
