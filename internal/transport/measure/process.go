package measure

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	clockTick = 10 * time.Millisecond // USER_HZ is 100 on all Linux platforms that Go supports
	pageBytes = 4096
)

// Deployment names the processes of one running instance.
type Deployment struct {
	CallerAddress string // IP:port of entryd
	Model         string
	EntryPID      int
	ControlPID    int
}

func (d Deployment) configured() bool {
	return d.CallerAddress != "" && d.EntryPID > 0 && d.ControlPID > 0
}

// usage is the processor time and memory of a process at one time.
type usage struct {
	at       time.Time
	cpu      time.Duration // since the start of the process
	resident float64       // bytes
}

// readUsage reads the usage of a process from /proc/<pid>/stat and statm.
func readUsage(pid int) (usage, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return usage{}, fmt.Errorf("read processor time: %w", err)
	}
	statm, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return usage{}, fmt.Errorf("read memory: %w", err)
	}
	cpu, err := parseStat(string(stat))
	if err != nil {
		return usage{}, err
	}
	fields := strings.Fields(string(statm))
	if len(fields) < 2 {
		return usage{}, fmt.Errorf("statm has %d fields", len(fields))
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return usage{}, fmt.Errorf("resident pages: %w", err)
	}
	return usage{at: time.Now(), cpu: cpu, resident: float64(pages * pageBytes)}, nil
}

// parseStat returns the sum of user and system time. The command name, in brackets,
// can contain spaces, so fields are counted from its end.
func parseStat(stat string) (time.Duration, error) {
	const userTime, systemTime = 11, 12 // fields after the command name
	fields := strings.Fields(stat[strings.LastIndexByte(stat, ')')+1:])
	if len(fields) <= systemTime {
		return 0, fmt.Errorf("stat has %d fields after the command", len(fields))
	}
	var ticks int64
	for _, i := range []int{userTime, systemTime} {
		n, err := strconv.ParseInt(fields[i], 10, 64)
		if err != nil {
			return 0, fmt.Errorf("processor time: %w", err)
		}
		ticks += n
	}
	return time.Duration(ticks) * clockTick, nil
}

// coreShare returns the fraction of a core that was used between two readings.
func coreShare(from, to usage) float64 { return float64(to.cpu-from.cpu) / float64(to.at.Sub(from.at)) }

// processSection measures the memory and processor time of both processes of an
// idle instance.
func processSection(ctx context.Context, c Config) ([]Row, error) {
	const fullWindow = 20 * time.Second
	if !c.Deployment.configured() {
		return nil, errNeedsDeployment
	}
	var rows []Row
	window := max(time.Duration(c.Size*float64(fullWindow)), 5*time.Second)
	pids := []int{c.Deployment.EntryPID, c.Deployment.ControlPID}
	before, err := readUsages(pids)
	if err != nil {
		return nil, err
	}
	select {
	case <-time.After(window):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	after, err := readUsages(pids)
	if err != nil {
		return nil, err
	}
	for i, name := range []string{"entryd idle", "controld idle"} {
		rows = append(rows,
			Row{Section: "process", Case: name, Figure: "resident memory", Unit: "MB", Value: formatNumber(after[i].resident / 1e6)},
			Row{Section: "process", Case: name, Figure: "processor", Unit: "% of a core", Value: formatNumber(100 * coreShare(before[i], after[i]))})
	}
	return rows, nil
}

func readUsages(pids []int) ([]usage, error) {
	var all []usage
	for _, pid := range pids {
		u, err := readUsage(pid)
		if err != nil {
			return nil, err
		}
		all = append(all, u)
	}
	return all, nil
}
