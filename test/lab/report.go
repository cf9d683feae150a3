package lab

import (
	"bytes"
	"encoding/csv"
	"encoding/json"
	"fmt"
	"html/template"
	"image/color"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Origin says when, where and with which version results were produced.
type Origin struct {
	At       time.Time
	Machine  string
	Commit   string
	Go       string
	Seed     uint64
	Short    bool
	Comments []string `json:",omitempty"`
}

// Kept is the content of results.json.
type Kept struct {
	Experiment string
	Origin     Origin
	Verdicts   []Verdict
	Results    []Result
}

// ThisMachine returns the origin of results that are produced now on this machine: its processors and kernel,
// the Go version, and the commit as the caller knows it.
func ThisMachine(seed uint64, commit string, short bool) Origin {
	o := Origin{At: time.Now().UTC().Truncate(time.Second), Commit: commit, Go: runtime.Version(), Seed: seed, Short: short}
	model := "unknown processor"
	if text, err := os.ReadFile("/proc/cpuinfo"); err == nil {
		if _, rest, found := strings.Cut(string(text), "model name"); found {
			line, _, _ := strings.Cut(rest, "\n")
			model = strings.TrimLeft(line, "\t :")
		}
	}
	kernel, _ := os.ReadFile("/proc/sys/kernel/osrelease")
	o.Machine = fmt.Sprintf("%d processors (%s), Linux %s", runtime.NumCPU(), model, strings.TrimSpace(string(kernel)))
	return o
}

// Keep writes results.json, results.csv and report.html to a folder. results.json omits the latency histograms.
func Keep(dir string, x *Experiment, origin Origin, results []Result, verdicts []Verdict) error {
	trimmed := slices.Clone(results)
	for i := range trimmed {
		trimmed[i].Load = slices.Clone(trimmed[i].Load)
		for k := range trimmed[i].Load {
			trimmed[i].Load[k].Latency = nil // thousands of counts; the figures include its percentiles
		}
	}
	text, err := json.Marshal(Kept{x.Name, origin, verdicts, trimmed})
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, "results.json"), append(text, '\n'), 0o644); err != nil {
		return err
	}
	names := figureNames
	if x.shownFigures != nil {
		names = x.shownFigures
	}
	var table bytes.Buffer
	w := csv.NewWriter(&table)
	_ = w.Write(append([]string{"variant", "phase"}, names...))
	for _, r := range results {
		row := []string{r.Variant, r.Phase}
		for _, name := range names {
			row = append(row, strconv.FormatFloat(r.Figures[name], 'g', 6, 64))
		}
		_ = w.Write(row)
	}
	if w.Flush(); w.Error() != nil {
		return w.Error()
	}
	if err := os.WriteFile(filepath.Join(dir, "results.csv"), table.Bytes(), 0o644); err != nil {
		return err
	}
	page, err := renderReport(x, origin, results, verdicts)
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, "report.html"), page, 0o644)
}

// palette holds the colours of lines and bars. People with colour blindness can distinguish them.
var palette = []color.Color{color.RGBA{0, 114, 178, 255}, color.RGBA{230, 159, 0, 255}, color.RGBA{0, 158, 115, 255},
	color.RGBA{204, 121, 167, 255}, color.RGBA{86, 180, 233, 255}, color.RGBA{213, 94, 0, 255}}

// chart is one chart of the report.
type chart struct {
	Title string
	SVG   template.HTML
}

func renderChart(p *plot.Plot, title string) (chart, error) {
	c := vgsvg.New(15*vg.Centimeter, 8*vg.Centimeter)
	p.Draw(draw.New(c))
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return chart{}, err
	}
	svg := b.String()
	return chart{title, template.HTML(svg[max(strings.Index(svg, "<svg"), 0):])}, nil // safe: written by the plot library from numbers and our own names
}

// barChart draws some figures of each variant in one phase.
func barChart(title, unit string, results []Result, figures ...string) (chart, error) {
	p := plot.New()
	p.Y.Label.Text, p.Y.Min = unit, 0
	var names []string
	for i := range results {
		names = append(names, results[i].Variant)
	}
	width := vg.Points(min(40, 240/float64(len(names)*len(figures))))
	for k, figure := range figures {
		values := make(plotter.Values, len(results))
		for i := range results {
			values[i] = results[i].Figures[figure]
		}
		b, err := plotter.NewBarChart(values, width)
		if err != nil {
			return chart{}, err
		}
		b.Color, b.LineStyle.Width = palette[k%len(palette)], 0
		b.Offset = width * vg.Length(float64(k)-float64(len(figures)-1)/2)
		p.Add(b)
		if len(figures) > 1 {
			p.Legend.Add(figure, b)
		}
	}
	if p.Legend.Top = true; len(figures) > 1 {
		p.Y.Max *= 1.35 // for the legend
	}
	p.NominalX(names...)
	return renderChart(p, title)
}

// lineChart draws a value over time for each variant, summed over the client processes.
func lineChart(title, unit string, results []Result, value func(SecondReport) float64) (chart, error) {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text, p.Y.Min = "seconds from the start", unit, 0
	for i := range results {
		var points plotter.XYs
		for _, l := range results[i].Load {
			for s, second := range l.Seconds {
				for len(points) <= s {
					points = append(points, plotter.XY{X: float64(len(points))})
				}
				points[s].Y += value(second)
			}
		}
		if len(points) < 3 {
			continue
		}
		line, err := plotter.NewLine(points[:len(points)-1]) // the last second is incomplete
		if err != nil {
			return chart{}, err
		}
		line.Color, line.Width = palette[i%len(palette)], vg.Points(1.5)
		p.Add(line)
		p.Legend.Add(results[i].Variant, line)
	}
	p.Legend.Top = true
	p.Y.Max *= 1.35 // for the legend
	return renderChart(p, title)
}

// charts returns the functions that draw the charts of a phase.
func (x *Experiment) charts(phase string, results []Result) []func() (chart, error) {
	bar := func(title, unit string, figures ...string) func() (chart, error) {
		return func() (chart, error) { return barChart(title, unit, results, figures...) }
	}
	if x.shownFigures != nil {
		return map[string][]func() (chart, error){
			"roll-outs": {bar("From the proposal of an epoch until all members have adopted it", "ms", "roll_out_ms_mean", "roll_out_ms_worst"),
				bar("Traffic of an idle member", "bytes/s", "bytes_a_member_s"), bar("CPU of an idle member", "%", "cpu_percent_a_member")},
			"faults": {bar("Members below the floor at an epoch's effective date", "", "stopped_across", "straggled", "straggled_missed", "straggled_invented"),
				bar("Figures that must be 0", "", "below_floor", "conflicts", "unanswered", "record_faults"),
				bar("Records tampered with", "", "tampered", "tamper_missed", "tamper_invented")},
			"pair": {bar("p99, on and off", "ms", "p99_on_ms", "p99_off_ms"), bar("CPU per job, on and off", "us", "cpu_on_us_a_job", "cpu_off_us_a_job")},
		}[phase]
	}
	return []func() (chart, error){
		func() (chart, error) { return barChart("Jobs served per second", "jobs/s", results, "throughput") },
		func() (chart, error) {
			return barChart("Latency", "ms", results, "p50_ms", "p99_ms", "p999_ms")
		},
		func() (chart, error) {
			return barChart("CPU per job", "us", results, "cpu_user_us_a_job", "cpu_sys_us_a_job", "cpu_nodes_us_a_job", "cpu_clients_us_a_job")
		},
		func() (chart, error) {
			return barChart("Instructions and cycles per job", "thousands", results, "k_instructions_a_job", "k_cycles_a_job")
		},
		func() (chart, error) {
			return barChart("Last send after a drain was listed", "ms", results, "drain_last_ms")
		},
		func() (chart, error) {
			return barChart("Peak load of a cold node, relative to its limit", "", results, "cold_worst")
		},
		func() (chart, error) {
			return lineChart("Served in each second", "jobs", results, func(s SecondReport) float64 { return float64(s.Served) })
		},
		func() (chart, error) {
			return lineChart("p99 in each second", "ms", results, func(s SecondReport) float64 { return ms(s.P99) })
		},
	}
}

func renderReport(x *Experiment, origin Origin, results []Result, verdicts []Verdict) ([]byte, error) {
	type phase struct {
		Name    string
		Results []Result
		Charts  []chart
	}
	page := struct {
		X        *Experiment
		Origin   Origin
		Verdicts []Verdict
		Aims     []Verdict // all aims, and the expectations that were missed
		Held     int       // number of verdicts that held
		Figures  []string
		Phases   []phase
	}{X: x, Origin: origin, Verdicts: verdicts}
	for _, v := range verdicts {
		if v.Held {
			page.Held++
		}
		if v.Aim || !v.Held {
			page.Aims = append(page.Aims, v)
		}
	}
	names := figureNames
	if x.shownFigures != nil {
		names = x.shownFigures
	}
	for _, name := range names {
		if slices.ContainsFunc(results, func(r Result) bool { return r.Figures[name] != 0 }) {
			page.Figures = append(page.Figures, name)
		}
	}
	for _, p := range x.Phases {
		ph := phase{Name: p.Name}
		for _, r := range results {
			if r.Phase == p.Name {
				ph.Results = append(ph.Results, r)
			}
		}
		if len(ph.Results) == 0 {
			continue
		}
		for _, draw := range x.charts(p.Name, ph.Results) {
			c, err := draw()
			if err != nil {
				return nil, err
			}
			ph.Charts = append(ph.Charts, c)
		}
		page.Phases = append(page.Phases, ph)
	}
	var b bytes.Buffer
	err := reportTemplate.Execute(&b, page)
	return b.Bytes(), err
}

var reportTemplate = template.Must(template.New("report").Funcs(template.FuncMap{
	"figure": func(r Result, name string) string {
		return strconv.FormatFloat(r.Figures[name], 'f', decimals(r.Figures[name]), 64)
	},
}).Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><meta name="viewport" content="width=device-width, initial-scale=1">
<title>Experiment {{.X.Name}}</title>
<style>
:root { color-scheme: light dark; --back: #fbfbf9; --text: #1d1d1b; --rule: #c9c9c4; --good: #0a6b3d; --bad: #b3261e; }
@media (prefers-color-scheme: dark) { :root { --back: #17181a; --text: #e6e6e3; --rule: #45474b; --good: #6fd19f; --bad: #ff8a80; } }
body { background: var(--back); color: var(--text); font: 15px/1.5 system-ui, sans-serif; margin: 2rem auto; max-width: 72rem; padding: 0 1rem; }
.charts { display: grid; grid-template-columns: repeat(auto-fit, minmax(26rem, 1fr)); gap: 1rem; }
figure { margin: 0; background: #fff; color: #1d1d1b; border: 1px solid var(--rule); border-radius: 6px; padding: .7rem; }
figure svg { width: 100%; height: auto; }
figcaption { font-weight: 600; margin-bottom: .3rem; }
.wide { overflow-x: auto; }
table { border-collapse: collapse; font-variant-numeric: tabular-nums; }
th, td { border-bottom: 1px solid var(--rule); padding: .2rem .7rem; text-align: right; }
th:first-child, td:first-child { text-align: left; }
.held { color: var(--good); } .missed { color: var(--bad); font-weight: 600; }
</style></head><body>
<h1>Experiment {{.X.Name}}</h1>
<p>{{.X.About}}</p>
<p>{{.Origin.At.Format "2006-01-02 15:04 UTC"}}, {{.Origin.Machine}}, {{.Origin.Go}}{{if .Origin.Commit}}, commit {{.Origin.Commit}}{{end}}, seed {{.Origin.Seed}}{{if .Origin.Short}}, short form{{end}}.</p>
{{range .Origin.Comments}}<p>{{.}}</p>{{end}}
{{if .Verdicts}}<h2>Expectations</h2>
<p>{{.Held}} of {{len .Verdicts}} held.{{if .Aims}} Those missed, and the aims:{{end}}</p>
{{if .Aims}}{{template "verdicts" .Aims}}{{end}}
<details><summary>All</summary>{{template "verdicts" .Verdicts}}</details>{{end}}
{{$figures := .Figures}}{{range .Phases}}<h2>Phase {{.Name}}</h2>
<div class="charts">{{range .Charts}}<figure><figcaption>{{.Title}}</figcaption>{{.SVG}}</figure>{{end}}</div>
<div class="wide"><table><tr><th>figure</th>{{range .Results}}<th>{{.Variant}}</th>{{end}}</tr>
{{$results := .Results}}{{range $figures}}{{$name := .}}<tr><td>{{.}}</td>{{range $results}}<td>{{figure . $name}}</td>{{end}}</tr>
{{end}}</table></div>
{{end}}</body></html>
{{define "verdicts"}}<table><tr><th>expectation</th><th>found</th><th></th></tr>
{{range .}}<tr><td>{{.Text}}</td><td>{{printf "%.4g" .Found}}</td><td class="{{if .Held}}held{{else}}missed{{end}}">{{if .Held}}held{{else}}missed{{if .Aim}} (an aim){{end}}{{end}}</td></tr>
{{end}}</table>{{end}}`))

// decimals returns the number of decimal places to show of a figure.
func decimals(v float64) int {
	switch {
	case v >= 100 || v == float64(int(v)):
		return 0
	case v >= 10:
		return 1
	}
	return 2
}
