package hunt

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
)

// Task is one command of a plan: days that the bench draws, or one day of a focus.
type Task struct {
	Site  string
	Label string // the command as the table names it
	Days  int
	Jobs  int // days that the command runs at once
	args  []string
	// reportPath is the file with the day's complete report; "" where the command prints it.
	reportPath string
	// longSeconds is how long the day's traffic lasts, on a copy of the site; 0: as the site says.
	longSeconds int
	// prepare, where it is set, is called before the command runs.
	prepare func() error
}

// siteArgument is where a command of the day tool has the site file.
const siteArgument = 1

// Result is a task with its days.
type Result struct {
	Task
	Days []Day
	// Replayed says that days were abandoned and the task was run again.
	Replayed bool
}

// Tasks are the plan's commands, in the order in which they are started.
func (p Plan) Tasks() []Task {
	var tasks []Task
	for _, site := range p.Sites {
		if p.HuntDays > 0 {
			tasks = append(tasks, p.huntTask(site))
		}
	}
	tasks = append(tasks, p.focusTasks(p.FocusDays, p.focusTask)...)
	tasks = append(tasks, p.focusTasks(p.LongDays, p.longTask)...)
	tasks = append(tasks, p.writtenTasks(quotaDays, p.QuotaDays)...)
	return append(tasks, p.writtenTasks(exclusiveDays, p.ExclusiveDays)...)
}

// focusTasks are a number of tasks for each site and focus.
func (p Plan) focusTasks(days int, newTask func(site, focus string, seed int) Task) []Task {
	var tasks []Task
	for _, site := range p.Sites {
		for _, focus := range p.Focuses {
			for day := range days {
				tasks = append(tasks, newTask(site, focus, p.Seed+day))
			}
		}
	}
	return tasks
}

// huntTask takes half of the jobs, so that a hunt that ends leaves few of them idle.
func (p Plan) huntTask(site string) Task {
	jobs := max(1, p.Jobs/2)
	return Task{Site: siteName(site), Label: "hunt", Days: p.HuntDays, Jobs: jobs,
		args: []string{p.Bench, "hunt", site, "--days", strconv.Itoa(p.HuntDays), "--jobs", strconv.Itoa(jobs), "--why", "hunt by plan"}}
}

func (p Plan) focusTask(site, focus string, seed int) Task {
	return p.dayToolTask(site, "worst-days "+focus, focus, seed, filepath.Join(p.OutputFolder, siteName(site)))
}

// longTask is a day of a focus on a copy of the site with longer days.
func (p Plan) longTask(site, focus string, seed int) Task {
	label := fmt.Sprintf("worst-days %s, %d s", focus, p.LongSeconds)
	task := p.dayToolTask(site, label, focus, seed, filepath.Join(p.OutputFolder, fmt.Sprintf("%s-%ds", siteName(site), p.LongSeconds), "days"))
	task.longSeconds = p.LongSeconds
	return task
}

func (p Plan) dayToolTask(site, label, focus string, seed int, folder string) Task {
	return Task{Site: siteName(site), Label: label, Days: 1, Jobs: 1,
		args: []string{p.DayTool, site, "--focus", focus, "--days", "1", "--seed", strconv.Itoa(seed),
			"--bench", p.Bench, "--jobs", "1", "--out", folder},
		reportPath: filepath.Join(folder, fmt.Sprintf("%s-%d.txt", focus, seed))}
}

func siteName(path string) string {
	return strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))
}

// Run runs every task, at most Jobs days at once, and reports each result, one at a time. Tasks
// with abandoned days are run once more at the end.
func (p Plan) Run(ctx context.Context, report func(Result)) {
	abandoned := p.runTasks(ctx, p.Tasks(), func(r Result) bool {
		report(r)
		return r.hasAbandonedDays() && ctx.Err() == nil
	})
	p.runTasks(ctx, abandoned, func(r Result) bool {
		r.Replayed = true
		report(r)
		return false
	})
}

// runTasks runs tasks and returns those that must be repeated.
func (p Plan) runTasks(ctx context.Context, tasks []Task, mustRepeat func(Result) bool) []Task {
	jobSlots := make(chan struct{}, p.Jobs)
	var mu sync.Mutex
	var workers sync.WaitGroup
	var repeated []Task
	for _, task := range tasks {
		for range task.Jobs {
			jobSlots <- struct{}{}
		}
		workers.Add(1)
		go func() {
			defer workers.Done()
			result := p.runTask(ctx, task)
			for range task.Jobs {
				<-jobSlots
			}
			mu.Lock()
			defer mu.Unlock()
			if mustRepeat(result) {
				repeated = append(repeated, task)
			}
		}()
	}
	workers.Wait()
	return repeated
}

func (p Plan) runTask(ctx context.Context, task Task) Result {
	if task.prepare != nil {
		if err := task.prepare(); err != nil {
			return Result{Task: task, Days: withMissingDays(nil, task, err.Error())}
		}
	}
	if task.longSeconds > 0 {
		site, err := writeLongSite(task.args[siteArgument], task.longSeconds, p.OutputFolder)
		if err != nil {
			return Result{Task: task, Days: withMissingDays(nil, task, err.Error())}
		}
		task.args = slices.Clone(task.args)
		task.args[siteArgument] = site
	}
	command := exec.CommandContext(ctx, task.args[0], task.args[1:]...)
	command.Dir = p.Repository
	// The day tool starts the bench: both end together.
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	command.Cancel = func() error { return syscall.Kill(-command.Process.Pid, syscall.SIGTERM) }
	// The exit status says no more than the report: a broken rule or a day that was not run.
	output, _ := command.CombinedOutput()
	text := string(output)
	if task.reportPath != "" {
		if report, err := os.ReadFile(task.reportPath); err == nil {
			text = string(report)
		}
	}
	return Result{Task: task, Days: withMissingDays(ParseDays(text), task, text)}
}

// withMissingDays adds an abandoned day for each day of the task that was not reported.
func withMissingDays(days []Day, task Task, text string) []Day {
	for len(days) < task.Days {
		days = append(days, Day{Name: task.Label, Abandoned: true, GateFailures: []string{"not run: " + lastLine(text)}})
	}
	return days
}

func lastLine(text string) string {
	lines := strings.Split(strings.TrimSpace(text), "\n")
	return lines[len(lines)-1]
}

func (r Result) hasAbandonedDays() bool {
	return slices.ContainsFunc(r.Days, func(day Day) bool { return day.Abandoned })
}
