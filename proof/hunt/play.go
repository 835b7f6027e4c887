package hunt

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
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
	Jobs  int // days that the command plays at once
	args  []string
	// report is the file that holds the day's whole report; "" where the command
	// prints it.
	report string
}

// Result is a task with its days.
type Result struct {
	Task
	Days []Day
	// Replayed is whether days were given up and the task was played again.
	Replayed bool
}

// Tasks are the plan's commands, in the order in which they are played.
func (p Plan) Tasks() []Task {
	var tasks []Task
	for _, site := range p.Sites {
		if p.HuntDays > 0 {
			tasks = append(tasks, p.huntTask(site))
		}
	}
	for _, site := range p.Sites {
		for _, focus := range p.Focuses {
			for day := range p.FocusDays {
				tasks = append(tasks, p.focusTask(site, focus, p.Seed+day))
			}
		}
	}
	return tasks
}

// huntTask takes half of the jobs, so that a hunt that comes to its end leaves few idle.
func (p Plan) huntTask(site string) Task {
	jobs := max(1, p.Jobs/2)
	return Task{Site: siteName(site), Label: "hunt", Days: p.HuntDays, Jobs: jobs,
		args: []string{p.Bench, "hunt", site, "--days", strconv.Itoa(p.HuntDays), "--jobs", strconv.Itoa(jobs), "--why", "hunt by plan"}}
}

func (p Plan) focusTask(site, focus string, seed int) Task {
	folder := filepath.Join(p.Folder, siteName(site))
	return Task{Site: siteName(site), Label: "worst-days " + focus, Days: 1, Jobs: 1,
		args: []string{p.DayTool, site, "--focus", focus, "--days", "1", "--seed", strconv.Itoa(seed),
			"--bench", p.Bench, "--jobs", "1", "--out", folder},
		report: filepath.Join(folder, fmt.Sprintf("%s-%d.txt", focus, seed))}
}

func siteName(path string) string {
	return strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))
}

// Play plays every task, at most Jobs days at once, and hands each result to done,
// one at a time. Tasks whose days were given up are played once more at the end.
func (p Plan) Play(ctx context.Context, done func(Result)) {
	again := p.playAll(ctx, p.Tasks(), func(r Result) bool {
		done(r)
		return r.givenUp() > 0 && ctx.Err() == nil
	})
	p.playAll(ctx, again, func(r Result) bool {
		r.Replayed = true
		done(r)
		return false
	})
}

// playAll plays tasks and returns those for which keep is true.
func (p Plan) playAll(ctx context.Context, tasks []Task, keep func(Result) bool) []Task {
	places := make(chan struct{}, p.Jobs)
	var mutex sync.Mutex
	var players sync.WaitGroup
	var kept []Task
	for _, task := range tasks {
		for range task.Jobs {
			places <- struct{}{}
		}
		players.Add(1)
		go func() {
			defer players.Done()
			result := p.play(ctx, task)
			for range task.Jobs {
				<-places
			}
			mutex.Lock()
			defer mutex.Unlock()
			if keep(result) {
				kept = append(kept, task)
			}
		}()
	}
	players.Wait()
	return kept
}

func (p Plan) play(ctx context.Context, task Task) Result {
	command := exec.CommandContext(ctx, task.args[0], task.args[1:]...)
	command.Dir = p.Repository
	// The day tool starts the bench: both end together.
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	command.Cancel = func() error { return syscall.Kill(-command.Process.Pid, syscall.SIGTERM) }
	// The exit status says no more than the rows: a broken rule or a day not played.
	output, _ := command.CombinedOutput()
	text := string(output)
	if task.report != "" {
		if report, err := os.ReadFile(task.report); err == nil {
			text = string(report)
		}
	}
	return Result{Task: task, Days: completed(ParseDays(text), task, text)}
}

// completed adds a given-up day for each day of the task that has no row.
func completed(days []Day, task Task, text string) []Day {
	for len(days) < task.Days {
		days = append(days, Day{Name: task.Label, GivenUp: true, Gate: []string{"not played: " + lastLine(text)}})
	}
	return days
}

func lastLine(text string) string {
	lines := strings.Split(strings.TrimSpace(text), "\n")
	return lines[len(lines)-1]
}

func (r Result) givenUp() int {
	count := 0
	for _, day := range r.Days {
		if day.GivenUp {
			count++
		}
	}
	return count
}
