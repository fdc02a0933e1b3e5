package assembler_test

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"apricotspool/administrator"
)

var (
	measureDaemons = flag.Int("measure-daemons", 32, "number of real daemons of one data centre whose control cost BenchmarkControlCost measures")
	measureFor     = flag.Duration("measure-for", time.Minute, "length of the measurement")
)

// Sizes of the fleet that the system is designed for.
const (
	designCallers     = 2700
	designEndpoints   = 1600
	designDataCentres = 13
	// changeInterval is the mean time between configuration changes: 2,700 a day.
	changeInterval = 32 * time.Second
)

// designConfiguration returns a configuration of the design size. The endpoints of data centre "a"
// are engines of the cluster, several at one address; the others can't be reached.
func (c *cluster) designConfiguration() []byte {
	centres, callers, endpoints := map[string]any{}, map[string]any{}, map[string]any{}
	ranks := map[string]any{"urgent": map[string]any{"order": 0, "first-token": "1.4s", "share": 0.7}, "free": map[string]any{"order": 1, "first-token": "30s", "share": 0.2}}
	for i := range designDataCentres {
		centres[centre(i)] = map[string]any{"region": fmt.Sprintf("region-%d", i%5)}
	}
	for i := range designCallers {
		sum := sha256.Sum256([]byte(strconv.Itoa(i)))
		callers[fmt.Sprintf("caller-%d", i)] = map[string]any{"token-sha256": hex.EncodeToString(sum[:]), "rank": "urgent", "services": []string{"fitters"}}
	}
	for i := range designEndpoints {
		address := c.engines[i/designDataCentres%len(c.engines)]
		if i%designDataCentres != 0 {
			address = fmt.Sprintf("127.255.%d.%d:9", i/250, 1+i%250)
		}
		endpoints[fmt.Sprintf("engine-%d", i)] = map[string]any{"service": "fitters", "address": address, "data-centre": centre(i % designDataCentres), "models": []string{"belt-7b"}, "fencing": true}
	}
	patch, err := json.Marshal(map[string]any{
		"data-centres": centres, "callers": callers, "endpoints": endpoints,
		"models":   map[string]any{"belt-7b": map[string]any{"version": "1", "context": 65536}},
		"services": map[string]any{"fitters": map[string]any{"kind": "model", "models": []string{"belt-7b"}, "ranks": ranks, "deadline": "2m"}},
	})
	c.is.NoErr(err)
	return patch
}

func centre(i int) string { return string(rune('a' + i)) }

// usage is what a process has used so far.
type usage struct {
	processor time.Duration
	resident  int // bytes
}

// usageOf reads /proc. Linux counts processor time in hundredths of a second.
func (c *cluster) usageOf(pid int) usage {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	c.is.NoErr(err)
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	pages, _ := strconv.Atoi(fields[21])
	return usage{time.Duration(user+system) * 10 * time.Millisecond, pages * os.Getpagesize()}
}

// Measures processor time and memory of idle daemons with a configuration of the design size, one
// change every 32 s included. It asserts nothing about them: no verdict depends on a measured figure.
//
//	go test ./assembler -run '^$' -bench ControlCost -benchtime 1x -measure-daemons 32
func BenchmarkControlCost(b *testing.B) {
	c := newCluster(b, *measureDaemons, "10ms", "0s")
	patch := c.designConfiguration()
	b.Logf("configuration of %d bytes", len(patch))
	code, answer := c.operator(0, http.MethodPatch, "/configuration", patch, http.Header{"If-Match": {`"1"`}, administrator.HeaderPatchID: {"design"}})
	if code != http.StatusOK {
		b.Fatalf("status %d: %.300s", code, answer)
	}
	for i := range c.daemons {
		c.await("the configuration is in force", func() bool { return c.version(i) == 2 })
	}
	time.Sleep(10 * time.Second) // garbage of the start
	before := make([]usage, len(c.daemons))
	for i, d := range c.daemons {
		before[i] = c.usageOf(d.Process.Pid)
	}
	began := time.Now()
	version := 2
	for next := began.Add(changeInterval / 2); time.Since(began) < *measureFor; time.Sleep(time.Second) {
		if time.Now().After(next) {
			patch := fmt.Sprintf(`{"callers":{"caller-7":{"weight":%d}}}`, 1+version%9)
			code, _ := c.operator(0, http.MethodPatch, "/configuration", []byte(patch), http.Header{"If-Match": {fmt.Sprintf("%q", strconv.Itoa(version))}, administrator.HeaderPatchID: {fmt.Sprint("change-", version)}})
			c.is.Equal(code, http.StatusOK)
			version++
			next = next.Add(changeInterval)
		}
	}
	took := time.Since(began)
	var total, most time.Duration
	var resident, largest int
	for i, d := range c.daemons {
		now := c.usageOf(d.Process.Pid)
		used := now.processor - before[i].processor
		total, most = total+used, max(most, used)
		resident, largest = resident+now.resident, max(largest, now.resident)
	}
	n := float64(len(c.daemons))
	b.ReportMetric(100*total.Seconds()/took.Seconds()/n, "mean-%-of-a-core")
	b.ReportMetric(100*most.Seconds()/took.Seconds(), "most-%-of-a-core")
	b.ReportMetric(float64(resident)/n/(1<<20), "mean-MB")
	b.ReportMetric(float64(largest)/(1<<20), "most-MB")
	b.ReportMetric(float64(version-2), "changes")
	c.is.Equal(c.version(len(c.daemons)-1), version)
}
