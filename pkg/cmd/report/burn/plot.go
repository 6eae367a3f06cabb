package burn

import (
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/cowsliparch/cowsliparch/pkg/operatorapi"
)

const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
	barWidth   = 8 * vg.Millimeter
)

// plotBurn plots the burn rates as a bar chart grouped by window.
func plotBurn(report operatorapi.Burn, path string) error {
	p := plot.New()
	p.Title.Text = "Error budget burn rate"
	p.Y.Label.Text = "burn rate (1 spends the budget exactly)"
	p.NominalX(report.Windows...)
	p.Legend.Top = true
	for i, line := range report.Lines {
		bars, err := plotter.NewBarChart(plotter.Values(line.Burn), barWidth)
		if err != nil {
			return err
		}
		bars.Color = plotutil.Color(i)
		bars.Offset = barWidth * vg.Length(i)
		p.Add(bars)
		p.Legend.Add(line.Service+" "+line.Class, bars)
	}
	return p.Save(plotWidth, plotHeight, path)
}
