package tulipshed.emulator.cli;

import java.awt.Color;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Map;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.Styler;
import org.knowm.xchart.style.markers.SeriesMarkers;

/** Draws the plots of reports. */
final class Plots {
    private static final Color[] COLOURS = {
        new Color(0x1b6ca8),
        new Color(0xd1495b),
        new Color(0x66a182),
        new Color(0xedae49),
        new Color(0x8d5a97),
        new Color(0x3b3b3b),
        new Color(0x00798c),
        new Color(0xa0632b)
    };

    private Plots() {}

    /** One line: what it is called, where, and how far off it may be, or null. */
    record Line(String name, double[] x, double[] y, double[] error) {}

    /** A plot as PNG. */
    static byte[] png(String title, String x, String y, List<Line> lines, boolean logarithmic) {
        XYChart c = new XYChartBuilder()
                .width(760)
                .height(360)
                .title(title)
                .xAxisTitle(x)
                .yAxisTitle(y)
                .build();
        Styler s = c.getStyler();
        s.setLegendPosition(Styler.LegendPosition.OutsideE);
        s.setChartBackgroundColor(Color.WHITE);
        s.setSeriesColors(COLOURS);
        s.setChartTitleBoxVisible(false);
        c.getStyler().setXAxisLogarithmic(logarithmic);
        c.getStyler().setPlotGridLinesColor(new Color(0xe0e0e0));
        c.getStyler().setErrorBarsColor(Color.DARK_GRAY);
        for (Line l : lines) {
            if (l.x().length > 0) {
                var series = l.error() == null
                        ? c.addSeries(l.name(), l.x(), l.y())
                        : c.addSeries(l.name(), l.x(), l.y(), l.error());
                series.setMarker(l.x().length > 30 ? SeriesMarkers.NONE : SeriesMarkers.CIRCLE);
            }
        }
        try {
            return BitmapEncoder.getBitmapBytes(c, BitmapEncoder.BitmapFormat.PNG);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Half the width of a 95 in 100 interval of a mean. */
    static double error(double[] values) {
        if (values.length < 2) {
            return 0;
        }
        double mean = PairedDifferences.mean(values);
        double square = 0;
        for (double v : values) {
            square += (v - mean) * (v - mean);
        }
        return 1.96 * Math.sqrt(square / (values.length - 1) / values.length);
    }

    /** What a figure of a row is, as a number. */
    static double number(Map<String, Object> row, String figure) {
        return row.get(figure) instanceof Number n ? n.doubleValue() : Double.NaN;
    }
}
