package lemondeal.lab.experiment;

import java.awt.BasicStroke;
import java.awt.Color;
import java.awt.Font;
import java.awt.geom.Rectangle2D;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.jfree.chart.ChartFactory;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.axis.CategoryLabelPositions;
import org.jfree.chart.axis.NumberAxis;
import org.jfree.chart.plot.CategoryPlot;
import org.jfree.chart.plot.PlotOrientation;
import org.jfree.chart.plot.XYPlot;
import org.jfree.chart.renderer.category.StatisticalBarRenderer;
import org.jfree.chart.renderer.category.StatisticalLineAndShapeRenderer;
import org.jfree.chart.renderer.xy.XYLineAndShapeRenderer;
import org.jfree.data.statistics.DefaultStatisticalCategoryDataset;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;
import org.jfree.svg.SVGGraphics2D;

/** Charts of an experiment's figures as SVG, drawn with JFreeChart. */
final class Charts {
  private static final int WIDTH = 760;
  private static final int HEIGHT = 380;
  /** Colours that are also distinguishable with colour blindness (Okabe and Ito), and grey. */
  private static final Color[] COLOURS = {new Color(0, 114, 178), new Color(230, 159, 0), new Color(0, 158, 115),
      new Color(204, 121, 167), new Color(86, 180, 233), new Color(213, 94, 0), new Color(120, 120, 120),
      new Color(160, 140, 0), Color.BLACK};

  private Charts() {}

  /** A figure's mean by policy with its 95% interval: lines over the points of a sweep, or bars for a single point. */
  static void figure(Path file, String figure, Map<String, Map<String, Statistics.Mean>> meansByPolicyAndPoint)
      throws IOException {
    DefaultStatisticalCategoryDataset data = new DefaultStatisticalCategoryDataset();
    int points = meansByPolicyAndPoint.values().iterator().next().size();
    meansByPolicyAndPoint.forEach((policy, byPoint) -> byPoint.forEach((point, mean) -> data.add(mean.mean(),
        Double.isNaN(mean.halfWidth()) ? 0 : mean.halfWidth(), points == 1 ? "mean" : policy,
        points == 1 ? policy : point)));
    JFreeChart chart = points == 1
        ? ChartFactory.createBarChart(figure, null, null, data, PlotOrientation.VERTICAL, false, false, false)
        : ChartFactory.createLineChart(figure, null, null, data, PlotOrientation.VERTICAL, true, false, false);
    CategoryPlot plot = chart.getCategoryPlot();
    plot.setBackgroundPaint(Color.WHITE);
    plot.setRangeGridlinePaint(Color.LIGHT_GRAY);
    plot.getDomainAxis().setCategoryLabelPositions(CategoryLabelPositions.UP_45);
    plot.getDomainAxis().setMaximumCategoryLabelLines(2);
    ((NumberAxis) plot.getRangeAxis()).setAutoRangeIncludesZero(points == 1);
    if (points == 1) {
      StatisticalBarRenderer bars = new StatisticalBarRenderer();
      bars.setBarPainter(new org.jfree.chart.renderer.category.StandardBarPainter());
      bars.setShadowVisible(false);
      bars.setMaximumBarWidth(0.08);
      bars.setSeriesPaint(0, COLOURS[0]);
      bars.setErrorIndicatorPaint(Color.BLACK);
      plot.setRenderer(bars);
    } else {
      StatisticalLineAndShapeRenderer lines = new StatisticalLineAndShapeRenderer(true, true);
      for (int i = 0; i < data.getRowCount(); i++) {
        lines.setSeriesPaint(i, COLOURS[i % COLOURS.length]);
        lines.setSeriesStroke(i, new BasicStroke(2));
      }
      plot.setRenderer(lines);
    }
    write(file, chart);
  }

  /**
   * The share of the requested worth that was served over time, as the mean of all seeds, with one line for each
   * policy.
   *
   * @param point name of the sweep's point, "" without a sweep
   */
  static void servedOverTime(Path file, String point, Map<String, List<double[]>> seriesByPolicy) throws IOException {
    XYSeriesCollection data = new XYSeriesCollection();
    seriesByPolicy.forEach((policy, samples) -> {
      XYSeries series = new XYSeries(policy);
      samples.forEach(sample -> series.add(sample[0], sample[1]));
      data.addSeries(series);
    });
    JFreeChart chart = ChartFactory.createXYLineChart(
        "share of the worth served" + (point.isEmpty() ? "" : ", " + point), "seconds", null, data,
        PlotOrientation.VERTICAL, true, false, false);
    XYPlot plot = chart.getXYPlot();
    plot.setBackgroundPaint(Color.WHITE);
    plot.setRangeGridlinePaint(Color.LIGHT_GRAY);
    plot.setDomainGridlinePaint(Color.LIGHT_GRAY);
    ((NumberAxis) plot.getRangeAxis()).setAutoRangeIncludesZero(false);
    XYLineAndShapeRenderer lines = new XYLineAndShapeRenderer(true, false);
    lines.setDrawSeriesLineAsPath(true);
    for (int i = 0; i < data.getSeriesCount(); i++) {
      lines.setSeriesPaint(i, COLOURS[i % COLOURS.length]);
      lines.setSeriesStroke(i, new BasicStroke(1.6f));
    }
    plot.setRenderer(lines);
    write(file, chart);
  }

  /** Rounds to hundredths of a pixel, which are precise enough. */
  private static String formatCoordinate(double value) {
    double rounded = Math.round(value * 100) / 100.0;
    return rounded == Math.rint(rounded) ? Long.toString((long) rounded) : Double.toString(rounded);
  }

  private static void write(Path file, JFreeChart chart) throws IOException {
    chart.setBackgroundPaint(Color.WHITE);
    chart.getTitle().setFont(new Font(Font.SANS_SERIF, Font.BOLD, 15));
    SVGGraphics2D svg = new SVGGraphics2D(WIDTH, HEIGHT);
    // Otherwise the ids of clips are random, and the charts of two runs with equal results would differ.
    svg.setDefsKeyPrefix("c");
    svg.setGeomDoubleConverter(Charts::formatCoordinate);
    svg.setTransformDoubleConverter(Charts::formatCoordinate);
    chart.draw(svg, new Rectangle2D.Double(0, 0, WIDTH, HEIGHT));
    Files.writeString(file, svg.getSVGDocument());
  }
}
