"""Tables and least-squares fits for the benchmarks."""

from collections.abc import Sequence


def print_rows(titles: Sequence[str], rows: Sequence[Sequence[str]]) -> None:
    """Print a Markdown table."""
    print("| " + " | ".join(titles) + " |")
    print("|" + " --- |" * len(titles))
    for row in rows:
        print("| " + " | ".join(row) + " |")


def fit_line(points: Sequence[tuple[float, float]]) -> tuple[float, float]:
    """Intercept and slope of the least-squares line through (x, y) points."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    squared_deviations = sum((x - mean_x) ** 2 for x, _ in points)
    slope = (
        sum((x - mean_x) * (y - mean_y) for x, y in points) / squared_deviations
        if squared_deviations
        else 0.0
    )
    return mean_y - slope * mean_x, slope


def fit_plane(points: Sequence[tuple[float, float, float]]) -> tuple[float, float, float]:
    """Least-squares (constant, slope of x, slope of y) through (x, y, value) points."""
    rows = [(1.0, x, y) for x, y, _ in points]
    values = [value for _, _, value in points]
    matrix = [
        [sum(row[i] * row[j] for row in rows) for j in range(3)]
        + [sum(row[i] * value for row, value in zip(rows, values, strict=True))]
        for i in range(3)
    ]
    for pivot in range(3):
        best = max(range(pivot, 3), key=lambda index: abs(matrix[index][pivot]))
        matrix[pivot], matrix[best] = matrix[best], matrix[pivot]
        matrix[pivot] = [value / matrix[pivot][pivot] for value in matrix[pivot]]
        for other in range(3):
            if other != pivot:
                factor = matrix[other][pivot]
                matrix[other] = [
                    value - factor * top
                    for value, top in zip(matrix[other], matrix[pivot], strict=True)
                ]
    return matrix[0][3], matrix[1][3], matrix[2][3]
