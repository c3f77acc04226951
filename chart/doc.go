// Package chart renders a report as one self-contained HTML page.
//
// The plots are drawn by gonum/plot and embedded as SVG, so that the page needs
// no other file, script or network. Its layout adapts to small and large
// screens.
package chart
