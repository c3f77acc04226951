// Package chart renders a report as one self-contained HTML page.
//
// The plots are drawn by gonum/plot and stand in the page as SVG, so that it
// needs no other file, script or network. The page fits a phone and a desk.
package chart
