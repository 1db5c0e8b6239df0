//! Plots of what the measurement scripts printed, as SVG.

use std::{collections::BTreeMap, fs, path::Path};

use plotters::prelude::*;

use crate::{args::PlotArgs, server::StandinError};

const SIZE: (u32, u32) = (640, 400);
/// What is plotted: the word before the figure, the file, the title, and the divisor.
const PLOTS: [(&str, &str, &str, f64); 3] = [
    ("goodput", "goodput.svg", "good answers a second", 1.0),
    ("p50", "p50.svg", "median latency, ms", 1_000.0),
    ("p99", "p99.svg", "99th percentile of latency, ms", 1_000.0),
];

/// The points of each line, by its label: load factor, figure.
type Lines = BTreeMap<String, Vec<(f64, f64)>>;

/// Draws one plot for each figure.
pub fn run(args: &PlotArgs) -> Result<(), StandinError> {
    let what = format!("can't read {}", args.from.display());
    let text = fs::read_to_string(&args.from);
    let text = text.map_err(|cause| StandinError::Io { what, cause })?;
    for (word, file, title, divisor) in PLOTS {
        let lines = read(&text, word, divisor);
        let path = args.to.join(file);
        draw(&path, title, &lines).map_err(|error| {
            StandinError::Invalid(format!("{} can't be drawn: {error}", path.display()))
        })?;
        println!("{}", path.display());
    }
    Ok(())
}

/// Reads lines such as `kitetrail 10x: goodput 885.1/s p50 300031 ...`.
fn read(text: &str, word: &str, divisor: f64) -> Lines {
    let mut lines = Lines::new();
    for line in text.lines() {
        let Some((head, figures)) = line.split_once("x: ") else { continue };
        let Some((label, factor)) = head.rsplit_once(' ') else { continue };
        let mut words = figures.split_whitespace().skip_while(|found| *found != word);
        let figure = words.nth(1).map(|figure| figure.trim_end_matches("/s"));
        if let (Ok(factor), Some(Ok(figure))) = (factor.parse(), figure.map(str::parse::<f64>)) {
            lines.entry(label.to_owned()).or_default().push((factor, figure / divisor));
        }
    }
    lines
}

fn draw(path: &Path, title: &str, lines: &Lines) -> Result<(), Box<dyn std::error::Error>> {
    let points = || lines.values().flatten();
    let max_x = points().map(|(x, _)| *x).fold(1.0, f64::max);
    let max_y = points().map(|(_, y)| *y).fold(1.0, f64::max);
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(32)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..max_x * 1.05, 0.0..max_y * 1.1)?;
    chart.configure_mesh().x_desc("load, times 600 calls/s").draw()?;
    for (number, (label, points)) in lines.iter().enumerate() {
        let color = Palette99::pick(number).to_rgba();
        let series = LineSeries::new(points.iter().copied(), color.stroke_width(2));
        chart
            .draw_series(series)?
            .label(label)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color.stroke_width(2)));
    }
    chart.configure_series_labels().background_style(WHITE).border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}
